import { type sendUnaryData, Server, type ServerUnaryCall } from "@grpc/grpc-js";
import { bindServer } from "@pomeloturn/bind-server/bindServer";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { type OperatorAnswer, type OperatorRequest, operatorService } from "./operatorService.ts";

/** Runs one command. The result must be serializable by `JSON.stringify`; undefined is returned to the operator as an empty object. */
export type OperatorHandler = (args: Readonly<Record<string, string>>) => unknown;

/** Handlers by command name. */
export type OperatorHandlers = Readonly<Record<string, OperatorHandler>>;

/** Serves operator commands. */
export class OperatorServer {
    private readonly server = new Server();

    private constructor(private readonly handlers: OperatorHandlers) {
        this.server.addService(operatorService, {
            call: (call: ServerUnaryCall<OperatorRequest, OperatorAnswer>, respond: sendUnaryData<OperatorAnswer>) => {
                void this.answer(call.request).then(answer => respond(null, answer));
            },
        });
    }

    static create(handlers: OperatorHandlers): OperatorServer {
        return new OperatorServer(handlers);
    }

    /** @returns the port that was bound */
    listen(host: string, port: number): Promise<number> {
        return bindServer(this.server, host, port);
    }

    close(): void {
        this.server.forceShutdown();
    }

    private async answer(request: OperatorRequest): Promise<OperatorAnswer> {
        try {
            if (!Object.hasOwn(this.handlers, request.command)) {
                throw PomeloturnError.create(ResultCode.UnknownOperatorCommand, request.command);
            }
            return { result: await this.handlers[request.command]!(request.arguments) ?? {} };
        }
        catch (error) {
            const code = error instanceof PomeloturnError ? error.code : ResultCode.OperatorCommandFailed;
            return { error: { code, message: (error as Error).message } };
        }
    }
}
