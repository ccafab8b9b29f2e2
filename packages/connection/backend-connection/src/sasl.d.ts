/** Types of the used part of pg's SCRAM client, for which pg provides none. */
declare module "pg/lib/crypto/sasl.js" {
    export interface SaslSession {
        readonly mechanism: string;
        /** Text of the next message to send. */
        readonly response: string;
    }

    interface SaslClient {
        startSession(mechanisms: readonly string[]): SaslSession;
        /** Advances the session in place. */
        continueSession(session: SaslSession, password: string, serverData: string): Promise<void>;
        finalizeSession(session: SaslSession, serverData: string): void;
    }

    const client: SaslClient;
    export default client;
}
