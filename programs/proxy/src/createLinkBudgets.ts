import { monotonicNowMs } from "@pomeloturn/clock/monotonicNowMs";
import type { ResultCode } from "@pomeloturn/errors/ResultCode";
import { LinkBudgets } from "@pomeloturn/link-budget/LinkBudgets";
import { PlatformClient } from "@pomeloturn/platform-client/PlatformClient";
import type { ControlView } from "@pomeloturn/types/ControlView";
import type { RequestTarget } from "@pomeloturn/types/Request";
import { randomUUID } from "node:crypto";
import { MeteredTarget } from "./MeteredTarget.ts";
import type { ProxySettings } from "./ProxySettings.ts";

const PLATFORM_TIMEOUT_MS = 3_000;
const MONTHS_PER_YEAR = 12;

/** Budgets of the paid links of a proxy. */
export interface ProxyLinks {
    /** Charges a request to the paid link to a VM. @returns a code other than `Ok` if the request must not be sent */
    readonly chargeRequest: (vm: string, rank: number, sizeBytes: number) => ResultCode;
    /** Wraps a target so that its answers to proxies in other regions are charged. */
    meter(target: RequestTarget): RequestTarget;
    close(): void;
}

const computeCurrentMonth = (): number => {
    const now = new Date();
    return now.getUTCFullYear() * MONTHS_PER_YEAR + now.getUTCMonth();
};

/** Creates the budgets of a proxy's paid links. @returns undefined if the settings name no platform */
export const createLinkBudgets = (
    settings: ProxySettings,
    view: () => ControlView,
    onRenewalFailed: (link: string, error: Error) => void,
): ProxyLinks | undefined => {
    const { vm, failureDomain, platformUrl } = settings;
    if (platformUrl === undefined) {
        return undefined;
    }
    const budgets = LinkBudgets.create({
        processId: `${vm}#${randomUUID()}`,
        table: PlatformClient.create({ url: platformUrl, vm, timeoutMs: PLATFORM_TIMEOUT_MS }),
        links: () => view().configuration.links,
        nowMs: monotonicNowMs,
        month: computeCurrentMonth,
        onRenewalFailed,
    });
    const ownRegion = (): string => view().configuration.failureDomains[failureDomain] ?? "";
    // A VM that is not in the view is treated as one in this VM's region.
    const findRegion = (peer: string): string => view().configuration.failureDomains[view().vms[peer]?.failureDomain ?? ""] ?? ownRegion();
    return {
        chargeRequest: (peer, rank, sizeBytes) => budgets.charge(ownRegion(), findRegion(peer), rank, sizeBytes),
        meter: target => MeteredTarget.create(target, budgets, ownRegion, findRegion),
        close: () => budgets.close(),
    };
};
