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

/** The paid links of a proxy. */
export interface ProxyLinks {
    readonly chargeRequest: (vm: string, rank: number, sizeBytes: number) => ResultCode;
    /** Charges the answers of a target. */
    meter(target: RequestTarget): RequestTarget;
    close(): void;
}

const currentMonth = (): number => {
    const now = new Date();
    return now.getUTCFullYear() * MONTHS_PER_YEAR + now.getUTCMonth();
};

/** Opens the budgets of a proxy's paid links; undefined when its settings name no platform. */
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
        month: currentMonth,
        onRenewalFailed,
    });
    const ownRegion = (): string => view().configuration.failureDomains[failureDomain] ?? "";
    // A VM that the view does not know counts as one of the own region.
    const regionOf = (peer: string): string => view().configuration.failureDomains[view().vms[peer]?.failureDomain ?? ""] ?? ownRegion();
    return {
        chargeRequest: (peer, rank, sizeBytes) => budgets.charge(ownRegion(), regionOf(peer), rank, sizeBytes),
        meter: target => MeteredTarget.create(target, budgets, ownRegion, regionOf),
        close: () => budgets.close(),
    };
};
