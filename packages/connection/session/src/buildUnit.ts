import { combineClasses } from "@pomeloturn/classify-statement/combineClasses";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import {
    readBindStatement,
    readParse,
    readStatementOrPortal,
    toUnnamedBind,
    toUnnamedDescribe,
    toUnnamedParse,
} from "@pomeloturn/wire-messages/preparedStatement";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { readCommentAttributes } from "./readAttributes.ts";
import type { PreparedStatement, RequestUnit, StatementAttributes } from "./SessionState.ts";

interface UnitBuilder {
    readonly statements: Map<string, PreparedStatement>;
    readonly classify: (text: string) => StatementClass;
    readonly messages: Buffer[];
    readonly classes: Set<StatementClass>;
    readonly injectedParses: boolean[];
    readonly definedNames: string[];
    attributes: StatementAttributes;
    /** Statement that is the backend connection's unnamed statement at this point of the unit. */
    unnamedStatement: PreparedStatement | undefined;
}

type MessageHandler = (builder: UnitBuilder, message: Buffer) => void;

const useStatement = (builder: UnitBuilder, name: string): void => {
    const statement = builder.statements.get(name);
    if (statement === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownPreparedStatement, name);
    }
    builder.classes.add(statement.statementClass);
    builder.attributes = { ...builder.attributes, ...statement.attributes };
    if (builder.unnamedStatement !== statement) {
        builder.messages.push(statement.unnamedParse);
        builder.injectedParses.push(true);
        builder.unnamedStatement = statement;
    }
};

const handlers: Readonly<Record<number, MessageHandler>> = {
    [FrontendType.Query]: (builder, message) => {
        const text = readQueryText(message);
        builder.classes.add(builder.classify(text));
        builder.attributes = readCommentAttributes(text);
        builder.messages.push(message);
    },
    [FrontendType.Parse]: (builder, message) => {
        const { name, text } = readParse(message);
        const statement = {
            statementClass: builder.classify(text),
            attributes: readCommentAttributes(text),
            unnamedParse: toUnnamedParse(message),
        };
        builder.statements.set(name, statement);
        builder.definedNames.push(name);
        builder.messages.push(statement.unnamedParse);
        builder.injectedParses.push(false);
        builder.unnamedStatement = statement;
    },
    [FrontendType.Bind]: (builder, message) => {
        useStatement(builder, readBindStatement(message));
        builder.messages.push(toUnnamedBind(message));
    },
    [FrontendType.Describe]: (builder, message) => {
        const { kind, name } = readStatementOrPortal(message);
        if (kind === "S") {
            useStatement(builder, name);
            builder.messages.push(toUnnamedDescribe(message));
            return;
        }
        builder.messages.push(message);
    },
    [FrontendType.Close]: (builder, message) => {
        const { kind, name } = readStatementOrPortal(message);
        if (kind === "S") {
            builder.statements.delete(name);
            builder.unnamedStatement = undefined;
            builder.messages.push(toUnnamedDescribe(message));
            return;
        }
        builder.messages.push(message);
    },
    [FrontendType.Execute]: (builder, message) => {
        builder.messages.push(message);
    },
    [FrontendType.Sync]: (builder, message) => {
        builder.messages.push(message);
    },
    [FrontendType.Flush]: builder => {
        builder.messages.push(serialize.sync());
    },
};

/**
 * Rewrites the messages of a unit so that they do not depend on the state of a backend connection: a named prepared
 * statement is replaced by the unnamed statement, which is parsed again where it is used.
 *
 * @param statements prepared statements of the session by name, updated in place
 * @param classify returns the class of an SQL text
 * @throws PomeloturnError with `UnsupportedStatement`, `UnknownPreparedStatement`, `MalformedComment` or `MalformedMessage`
 */
export const buildUnit = (
    messages: readonly Buffer[],
    statements: Map<string, PreparedStatement>,
    classify: (text: string) => StatementClass,
): RequestUnit => {
    const builder: UnitBuilder = {
        statements,
        classify,
        messages: [],
        classes: new Set(),
        injectedParses: [],
        definedNames: [],
        attributes: {},
        unnamedStatement: undefined,
    };
    for (const message of messages) {
        const handler = handlers[message[0]!];
        if (handler === undefined) {
            throw PomeloturnError.create(ResultCode.UnsupportedStatement, `frontend message type ${message[0]} is not supported`);
        }
        handler(builder, message);
    }
    const statementClass = combineClasses(builder.classes);
    if (statementClass === StatementClass.Unsupported) {
        throw PomeloturnError.create(ResultCode.UnsupportedStatement);
    }
    const { attributes, injectedParses, definedNames } = builder;
    const isFlush = messages.at(-1)![0] === FrontendType.Flush;
    return { messages: builder.messages, statementClass, attributes, injectedParses, definedNames, isFlush };
};
