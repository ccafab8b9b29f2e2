import { serialize } from "pg-protocol";
import sasl, { type SaslSession } from "pg/lib/crypto/sasl.js";

/** Client side of one SCRAM-SHA-256 authentication. The methods throw if the server's data is invalid. */
export class ScramExchange {
    private session: SaslSession | undefined;

    private constructor() {}

    static create(): ScramExchange {
        return new ScramExchange();
    }

    /** Creates the initial message. @param mechanisms mechanisms that the server offers */
    start(mechanisms: readonly string[]): Buffer {
        this.session = sasl.startSession(mechanisms);
        return serialize.sendSASLInitialResponseMessage(this.session.mechanism, this.session.response);
    }

    /** Creates the message that proves knowledge of the password. @param serverData data of the server's first message */
    async proceed(password: string, serverData: string): Promise<Buffer> {
        const session = this.requireSession();
        await sasl.continueSession(session, password, serverData);
        return serialize.sendSCRAMClientFinalMessage(session.response);
    }

    /** Verifies that the server knows the password. @param serverData data of the server's final message */
    finish(serverData: string): void {
        sasl.finalizeSession(this.requireSession(), serverData);
    }

    private requireSession(): SaslSession {
        if (this.session === undefined) {
            throw new Error("the server continued a SASL authentication that was not started");
        }
        return this.session;
    }
}
