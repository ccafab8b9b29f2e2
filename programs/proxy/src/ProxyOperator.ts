import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import { formatMetrics } from "@pomeloturn/histograms/formatMetrics";
import type { LatencyHistograms } from "@pomeloturn/histograms/LatencyHistograms";
import type { Counters } from "@pomeloturn/logger/Counters";
import { type OperatorHandlers, OperatorServer } from "@pomeloturn/operator-link/OperatorServer";
import type { SessionToken } from "@pomeloturn/session-token/SessionToken";
import type { SessionContext } from "@pomeloturn/session/sessionMessages";
import type { StatementExplanation } from "@pomeloturn/types/StatementExplanation";
import { explainStatement } from "./explainStatement.ts";

/** Data that the proxy's operator commands read. */
export interface ProxyOperatorOptions {
    readonly counters: Counters;
    readonly histograms: LatencyHistograms;
    context(): SessionContext;
    readToken(service: string, text: string | undefined): SessionToken | undefined;
    nowMs(): number;
}

/** Creates the server of the operator commands `histograms`, `counters`, `metrics` and `explain`. */
export const createProxyOperator = (options: ProxyOperatorOptions): OperatorServer => {
    const { counters, histograms } = options;
    const handlers: OperatorHandlers = {
        histograms: () => histograms.summarize(),
        counters: () => counters.snapshot(),
        metrics: () => formatMetrics(counters.snapshot(), histograms.summarize()),
        explain: args => explain(args, options),
    };
    return OperatorServer.create(handlers);
};

const explain = (args: Readonly<Record<string, string>>, options: ProxyOperatorOptions): StatementExplanation => {
    const { service = "", sql = "", token, rank, readKind, key } = args;
    const context = options.context();
    if (!Object.hasOwn(context.view.configuration.services, service)) {
        throw PomeloturnError.create(ResultCode.UnknownService, service);
    }
    const attributes = Object.fromEntries(Object.entries({ rank, readKind, key }).filter(([, value]) => value !== undefined));
    return explainStatement({ service, sql, token: options.readToken(service, token), attributes }, context, options.nowMs());
};
