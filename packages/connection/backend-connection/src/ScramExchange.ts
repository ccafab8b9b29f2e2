import { serialize } from "pg-protocol";
import sasl, { type SaslSession } from "pg/lib/crypto/sasl.js";

/** The client's side of one SCRAM-SHA-256 authentication. Its methods throw when the server's data is wrong. */
export class ScramExchange {
    private session: SaslSession | undefined;

    private constructor() {}

    static create(): ScramExchange {
        return new ScramExchange();
    }

    /** @param mechanisms those that the server offers */
    start(mechanisms: readonly string[]): Buffer {
        this.session = sasl.startSession(mechanisms);
        return serialize.sendSASLInitialResponseMessage(this.session.mechanism, this.session.response);
    }

    /** Proves the password. */
    async proceed(password: string, serverData: string): Promise<Buffer> {
        const session = this.requireSession();
        await sasl.continueSession(session, password, serverData);
        return serialize.sendSCRAMClientFinalMessage(session.response);
    }

    /** Checks that the server knows the password as well. */
    finish(serverData: string): void {
        sasl.finalizeSession(this.requireSession(), serverData);
    }

    private requireSession(): SaslSession {
        if (this.session === undefined) {
            throw new Error("the server continued an authentication that it had not started");
        }
        return this.session;
    }
}
