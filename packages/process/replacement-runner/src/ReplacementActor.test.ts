import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { createUnheldAuthority } from "@pomeloturn/replace-primary/createUnheldAuthority";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { type InstanceProtocol, type Listing, PromotionOutcome } from "@pomeloturn/types/Protocols";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { start } from "nact";
import { setTimeout as delay } from "node:timers/promises";
import { expect, it } from "vitest";
import { ReplacementActor } from "./ReplacementActor.ts";

const SERVICE = "ledger";
const TICK_MS = 20;
/** Time in which a primary that refuses connections is replaced. */
const REPLACEMENT_TIME_MS = 1_000;

const STATUS_REPLY: InstanceReply = { code: ResultCode.Ok, status: TransactionStatus.Idle } as InstanceReply;
const REFUSED: InstanceReply = { code: ResultCode.BackendLost, status: TransactionStatus.Idle } as InstanceReply;

/** A pool whose connections answer each command with success. The pool of the failed primary has no connection. */
const createTestPool = ({ isPrimary }: InstanceEntry): InstancePool => {
    const lease = { send: () => [Promise.resolve(STATUS_REPLY)], release: () => {}, discard: () => {} } as unknown as ConnectionLease;
    const acquire = (): Promise<ConnectionLease | undefined> => Promise.resolve(isPrimary ? undefined : lease);
    const pool = { acquire, setLimit: () => {}, warmUp: () => {}, close: () => {}, retire: () => {} };
    return pool as unknown as InstancePool;
};

const createDirectory = (): ServiceDirectory => {
    const directory = ServiceDirectory.create(createTestPool);
    const services = new Map([[SERVICE, { name: SERVICE, connectionLimit: 1, syncReplicas: 0 }]]);
    directory.applyRoutes({ version: 1, routes: new Map(), services, transactionIdleMs: 3_000 });
    const shared = { service: SERVICE, host: "127.0.0.1", port: 1, failureDomain: "domain", slots: 2, isDraining: false };
    const written = { startedAtMs: undefined, reportNumber: undefined, writtenAt: { era: 1, version: 1 } };
    directory.applyEntry({ ...shared, ...written, id: "a", isPrimary: true });
    directory.applyEntry({ ...shared, ...written, id: "b", isPrimary: false });
    return directory;
};

/** Replaces the primary "a", which refuses connections. @returns the instances whose promotion was ordered */
const replacePrimary = async (readListing: () => Promise<Listing>): Promise<readonly string[]> => {
    const ordered: string[] = [];
    const system = start();
    const state = { isPrimary: false, term: 1, received: { term: 1, position: 7 }, heldTerm: 0 };
    const actor = ReplacementActor.create({
        system,
        vm: "vm-1",
        service: createDirectory().services.get(SERVICE)!,
        authorities: {
            claim: (_service, holder, fence) => Promise.resolve({ isApplied: true, authority: { holder, fence, era: 1, version: 2 } }),
            readListing,
        },
        promoter: {
            promote: (_service, instanceId) => {
                ordered.push(instanceId);
                return Promise.resolve(PromotionOutcome.Accepted);
            },
        },
        protocol: { decodeState: () => state } as unknown as InstanceProtocol,
        nowMs: () => performance.now(),
        openConnection: () => ({ startupReply: Promise.resolve(REFUSED), close: () => {} }) as unknown as CommandChannel,
        isMisrouted: () => false,
        areFencesChecked: true,
        detectSuspensions: () => 0,
        syncReplicas: () => 0,
        isListingComplete: () => false,
        vmIndex: () => 0,
        log: () => {},
    });
    actor.changeAuthority(createUnheldAuthority(1));
    actor.suspect("a");
    for (let elapsedMs = 0; elapsedMs < REPLACEMENT_TIME_MS; elapsedMs += TICK_MS) {
        actor.tick();
        await delay(TICK_MS);
    }
    return ordered;
};

const list = (...primaries: readonly (readonly [id: string, service: string])[]): () => Promise<Listing> => () =>
    Promise.resolve({ era: 1, instances: primaries.map(([id, service]) => ({ id, service, isPrimary: true })) });

it("orders no promotion when the listing shows only the primary that has failed, and that of another service", async () => {
    expect(await replacePrimary(list(["a", SERVICE], ["z", "other"]))).toContain("b");
});

it.each<[what: string, readListing: () => Promise<Listing>]>([
    ["lists a primary that this VM has not heard of", list(["a", SERVICE], ["b", SERVICE])],
    ["cannot be read", () => Promise.reject(new Error("the store did not answer"))],
])("orders a promotion after a claim although the listing %s", async (_what, readListing) => {
    expect(await replacePrimary(readListing)).toEqual([]);
});
