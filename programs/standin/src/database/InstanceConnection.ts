import {
    buildAuthenticationOk,
    buildCommandComplete,
    buildEmptyMessage,
    buildParameterStatus,
    buildReadyForQuery,
} from "@pomeloturn/wire-messages/buildMessage";
import { MessageFramer } from "@pomeloturn/wire-messages/MessageFramer";
import { BackendType, FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import { readParse, readStatementOrPortal } from "@pomeloturn/wire-messages/preparedStatement";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";
import type { Socket } from "node:net";
import { type BoundPortal, readBind, substituteParameters } from "./bind.ts";
import { buildDatabaseError, buildDataRow, buildRowDescription } from "./buildRows.ts";
import type { DatabaseInstance } from "./DatabaseInstance.ts";
import { DatabaseError, DatabaseSession } from "./DatabaseSession.ts";
import { executeStatement, type MatchedStatement, matchStatement, splitStatements } from "./executeStatement.ts";

const MAXIMUM_MESSAGE_BYTES = 256 * 1024 * 1024;
const SSL_REQUEST_SIZE_BYTES = 8;
const APPLICATION_NAME = /application_name\0([^\0]*)\0/;

type MessageHandler = (message: Buffer) => Promise<void> | void;

/** A client connection of an instance. */
export class InstanceConnection {
    /** Name of the VM at the other end, from its `application_name`; empty before the start-up message. */
    vm = "";
    private readonly session: DatabaseSession;
    private readonly framer = MessageFramer.create(MAXIMUM_MESSAGE_BYTES);
    private readonly statements = new Map<string, string>();
    private readonly portals = new Map<string, BoundPortal>();
    private isStarted = false;
    private isSkippingToSync = false;
    private isPartitioned = false;
    private pendingWork: Promise<void> = Promise.resolve();
    private readonly bufferedWrites: Buffer[] = [];

    private constructor(private readonly socket: Socket, private readonly instance: DatabaseInstance, nowMs: () => number) {
        this.session = DatabaseSession.create(instance, nowMs);
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            void this.pendingWork.then(() => this.session.rollback());
        });
    }

    static create(socket: Socket, instance: DatabaseInstance, nowMs: () => number): InstanceConnection {
        return new InstanceConnection(socket, instance, nowMs);
    }

    destroy(): void {
        this.socket.destroy();
    }

    /** While the connection is partitioned, it neither reads nor writes; buffered writes follow when the partition ends. */
    setPartitioned(isPartitioned: boolean): void {
        this.isPartitioned = isPartitioned;
        if (isPartitioned) {
            this.socket.pause();
            return;
        }
        this.socket.resume();
        for (const bytes of this.bufferedWrites.splice(0)) {
            this.socket.write(bytes);
        }
    }

    private receive(chunk: Buffer): void {
        if (!this.isStarted) {
            this.receiveStartup(chunk);
            return;
        }
        for (const message of this.framer.push(chunk)) {
            this.pendingWork = this.pendingWork.then(() => this.handle(message));
        }
    }

    private receiveStartup(chunk: Buffer): void {
        if (chunk.length === SSL_REQUEST_SIZE_BYTES) {
            this.socket.write("N");
            return;
        }
        this.isStarted = true;
        this.vm = APPLICATION_NAME.exec(chunk.toString("latin1"))?.[1] ?? "";
        this.send(buildAuthenticationOk(), buildParameterStatus("server_version", "15.0"), buildReadyForQuery("I"));
        if (this.instance.faults.cutVms.includes(this.vm)) {
            this.setPartitioned(true);
        }
    }

    private async handle(message: Buffer): Promise<void> {
        const type = message[0]!;
        if (this.isSkippingToSync && type !== FrontendType.Sync) {
            return;
        }
        try {
            await this.handlers[type]?.(message);
        }
        catch (error) {
            this.sendError(error as Error);
            this.isSkippingToSync = type !== FrontendType.Query;
            if (type === FrontendType.Query) {
                this.send(buildReadyForQuery(this.session.status));
            }
        }
    }

    /** Sends an error and marks an open transaction as failed. */
    private sendError(error: Error): void {
        const sqlState = error instanceof DatabaseError ? error.sqlState : "XX000";
        if (this.session.isInTransaction) {
            this.session.hasFailed = true;
        }
        else {
            this.session.rollback();
        }
        this.send(buildDatabaseError(sqlState, error.message));
    }

    private readonly handlers: Readonly<Record<number, MessageHandler>> = {
        [FrontendType.Query]: async message => {
            for (const text of splitStatements(readQueryText(message))) {
                await this.execute(matchStatement(text), true);
            }
            this.send(buildReadyForQuery(this.session.status));
        },
        [FrontendType.Parse]: message => {
            const { name, text } = readParse(message);
            this.statements.set(name, text);
            this.send(buildEmptyMessage(BackendType.ParseComplete));
        },
        [FrontendType.Bind]: message => {
            const bind = readBind(message);
            const text = this.statements.get(bind.statement);
            if (text === undefined) {
                throw DatabaseError.create("26000", `prepared statement "${bind.statement}" does not exist`);
            }
            this.portals.set(bind.portal, { text: substituteParameters(text, bind.parameters) });
            this.send(buildEmptyMessage(BackendType.BindComplete));
        },
        [FrontendType.Describe]: message => {
            const { kind, name } = readStatementOrPortal(message);
            const text = kind === "S" ? substituteParameters(this.statements.get(name) ?? "", []) : this.portals.get(name)?.text ?? "";
            const { handler, match } = matchStatement(text);
            const columns = handler.columns?.(match) ?? [];
            this.send(columns.length === 0 ? buildEmptyMessage(BackendType.NoData) : buildRowDescription(columns));
        },
        [FrontendType.Execute]: async message => {
            const portal = this.portals.get(readQueryText(message));
            await this.execute(matchStatement(portal?.text ?? ""), false);
        },
        [FrontendType.Close]: () => this.send(buildEmptyMessage(BackendType.CloseComplete)),
        [FrontendType.Sync]: () => {
            this.isSkippingToSync = false;
            this.send(buildReadyForQuery(this.session.status));
        },
        [FrontendType.Terminate]: () => {
            this.socket.end();
        },
    };

    private async execute(statement: MatchedStatement, hasRowDescription: boolean): Promise<void> {
        const result = await executeStatement(this.session, statement);
        const columns = statement.handler.columns?.(statement.match) ?? [];
        if (hasRowDescription && columns.length > 0) {
            this.send(buildRowDescription(columns));
        }
        this.send(...result.rows.filter(() => columns.length > 0).map(buildDataRow), buildCommandComplete(result.tag));
    }

    private send(...messages: Buffer[]): void {
        const bytes = Buffer.concat(messages);
        const delayMs = this.instance.faults.answerDelayMs;
        if (delayMs > 0) {
            setTimeout(() => this.write(bytes), delayMs);
            return;
        }
        this.write(bytes);
    }

    private write(bytes: Buffer): void {
        if (this.isPartitioned) {
            this.bufferedWrites.push(bytes);
            return;
        }
        this.socket.write(bytes);
    }
}
