/** The part of pg's SCRAM client that is used; pg has no types for it. */
declare module "pg/lib/crypto/sasl.js" {
    export interface SaslSession {
        readonly mechanism: string;
        /** Text of the message that is due. */
        readonly response: string;
    }

    interface SaslClient {
        startSession(mechanisms: readonly string[]): SaslSession;
        /** Turns the session into its next state. */
        continueSession(session: SaslSession, password: string, serverData: string): Promise<void>;
        finalizeSession(session: SaslSession, serverData: string): void;
    }

    const client: SaslClient;
    export default client;
}
