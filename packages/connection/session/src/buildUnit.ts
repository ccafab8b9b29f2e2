import { combineClasses } from "@pomeloturn/classify-statement/combineClasses";
import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { StatementClass } from "@pomeloturn/types/StatementClass";
import { FrontendType } from "@pomeloturn/wire-messages/messageTypes";
import {
    readBindStatement,
    readNamedObject,
    readParse,
    unnameBind,
    unnameDescribe,
    unnameParse,
} from "@pomeloturn/wire-messages/preparedStatement";
import { readQueryText } from "@pomeloturn/wire-messages/readMessage";
import { serialize } from "pg-protocol";
import { readComment } from "./readAttributes.ts";
import type { PreparedStatement, RequestUnit, StatementAttributes } from "./SessionState.ts";

interface UnitBuilder {
    readonly statements: Map<string, PreparedStatement>;
    readonly classify: (text: string) => StatementClass;
    readonly messages: Buffer[];
    readonly classes: Set<StatementClass>;
    readonly injectedParses: boolean[];
    readonly definedNames: string[];
    attributes: StatementAttributes;
    /** The statement that the backend connection's unnamed statement is at this point of the unit. */
    unnamed: PreparedStatement | undefined;
}

type MessageHandler = (builder: UnitBuilder, message: Buffer) => void;

const addStatement = (builder: UnitBuilder, name: string): void => {
    const statement = builder.statements.get(name);
    if (statement === undefined) {
        throw PomeloturnError.create(ResultCode.UnknownPreparedStatement, name);
    }
    builder.classes.add(statement.statementClass);
    builder.attributes = { ...builder.attributes, ...statement.attributes };
    if (builder.unnamed !== statement) {
        builder.messages.push(statement.unnamedParse);
        builder.injectedParses.push(true);
        builder.unnamed = statement;
    }
};

const handlers: Readonly<Record<number, MessageHandler>> = {
    [FrontendType.Query]: (builder, message) => {
        const text = readQueryText(message);
        builder.classes.add(builder.classify(text));
        builder.attributes = readComment(text);
        builder.messages.push(message);
    },
    [FrontendType.Parse]: (builder, message) => {
        const { name, text } = readParse(message);
        const statement = { statementClass: builder.classify(text), attributes: readComment(text), unnamedParse: unnameParse(message) };
        builder.statements.set(name, statement);
        builder.definedNames.push(name);
        builder.messages.push(statement.unnamedParse);
        builder.injectedParses.push(false);
        builder.unnamed = statement;
    },
    [FrontendType.Bind]: (builder, message) => {
        addStatement(builder, readBindStatement(message));
        builder.messages.push(unnameBind(message));
    },
    [FrontendType.Describe]: (builder, message) => {
        const { kind, name } = readNamedObject(message);
        if (kind === "S") {
            addStatement(builder, name);
            builder.messages.push(unnameDescribe(message));
            return;
        }
        builder.messages.push(message);
    },
    [FrontendType.Close]: (builder, message) => {
        const { kind, name } = readNamedObject(message);
        if (kind === "S") {
            builder.statements.delete(name);
            builder.unnamed = undefined;
            builder.messages.push(unnameDescribe(message));
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
 * Rewrites a unit so that it depends on no state of a backend connection: named prepared statements
 * become the unnamed one, parsed anew where they are used.
 *
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
        unnamed: undefined,
    };
    for (const message of messages) {
        const handler = handlers[message[0]!];
        if (handler === undefined) {
            throw PomeloturnError.create(ResultCode.UnsupportedStatement, `message type ${message[0]}`);
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
