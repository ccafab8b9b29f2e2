import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { CommandChannel } from "@pomeloturn/instance-connection/CommandChannel";
import type { ConnectionLease } from "@pomeloturn/instance-pool/ConnectionLease";
import type { InstancePool } from "@pomeloturn/instance-pool/InstancePool";
import { createUnheldAuthority } from "@pomeloturn/replace-primary/createUnheldAuthority";
import { recordAnswered } from "@pomeloturn/replace-primary/knownLeader";
import { ServiceDirectory } from "@pomeloturn/service-directory/ServiceDirectory";
import type { InstanceReply } from "@pomeloturn/types/InstanceCommand";
import { type InstanceProtocol, type Listing, PromotionOutcome } from "@pomeloturn/types/Protocols";
import { TransactionStatus } from "@pomeloturn/types/Request";
import type { InstanceEntry } from "@pomeloturn/types/ServiceEntries";
import { start } from "nact";
import { setTimeout as delay } from "node:timers/promises";
import { expect, it } from "vitest";
import { ReplacementActor, type ReplacementOptions } from "./ReplacementActor.ts";

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

const createDirectory = (syncReplicas: number): ServiceDirectory => {
    const directory = ServiceDirectory.create(createTestPool);
    const services = new Map([[SERVICE, { name: SERVICE, connectionLimit: 1, syncReplicas }]]);
    directory.applyRoutes({ version: 1, routes: new Map(), services, transactionIdleMs: 3_000 });
    const shared = { service: SERVICE, host: "127.0.0.1", port: 1, failureDomain: "domain", slots: 2, isDraining: false };
    const written = { startedAtMs: undefined, reportNumber: undefined, writtenAt: { era: 1, version: 1 } };
    directory.applyEntry({ ...shared, ...written, id: "a", isPrimary: true });
    directory.applyEntry({ ...shared, ...written, id: "b", isPrimary: false });
    directory.applyEntry({ ...shared, ...written, id: "c", isPrimary: false });
    return directory;
};

interface TestActor {
    readonly actor: ReplacementActor;
    readonly directory: ServiceDirectory;
    /** Instances whose promotion was ordered. */
    readonly ordered: readonly string[];
}

const createActor = (
    readListing: () => Promise<Listing>,
    syncReplicas = 0,
    options: Partial<Pick<ReplacementOptions, "nowMs" | "verifiedFromMs">> = {},
): TestActor => {
    const ordered: string[] = [];
    const system = start();
    const directory = createDirectory(syncReplicas);
    const state = { isPrimary: false, term: 1, received: { term: 1, position: 7 }, heldTerm: 0 };
    const actor = ReplacementActor.create({
        system,
        vm: "vm-1",
        service: directory.services.get(SERVICE)!,
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
        syncReplicas: () => syncReplicas,
        verifiedFromMs: () => undefined,
        vmIndex: () => 0,
        log: () => {},
        ...options,
    });
    actor.changeAuthority(createUnheldAuthority(1));
    return { actor, directory, ordered };
};

/** Lets the primary "a" be suspected, which refuses connections, and gives the actor the time to replace it. */
const replacePrimary = async ({ actor, ordered }: TestActor): Promise<readonly string[]> => {
    actor.suspect("a");
    for (let elapsedMs = 0; elapsedMs < REPLACEMENT_TIME_MS; elapsedMs += TICK_MS) {
        actor.tick();
        await delay(TICK_MS);
    }
    return ordered;
};

const list = (...instances: readonly (readonly [id: string, service: string, isPrimary?: boolean])[]): () => Promise<Listing> => () =>
    Promise.resolve({ era: 1, instances: instances.map(([id, service, isPrimary = true]) => ({ id, service, isPrimary })) });

it("orders no promotion when the listing shows only the primary that has failed, and that of another service", async () => {
    expect(await replacePrimary(createActor(list(["a", SERVICE], ["z", "other"])))).toContain("b");
});

it.each<[what: string, readListing: () => Promise<Listing>]>([
    ["lists a primary that this VM has not heard of", list(["a", SERVICE], ["b", SERVICE])],
    ["cannot be read", () => Promise.reject(new Error("the store did not answer"))],
])("orders a promotion after a claim although the listing %s", async (_what, readListing) => {
    expect(await replacePrimary(createActor(readListing))).toEqual([]);
});

it.each<[syncReplicas: number, mayOrder: boolean]>([[0, true], [1, false]])(
    "with %i replicas that have to receive commits, orders a promotion although a replica is listed that this VM has not heard of: %s",
    async (syncReplicas, mayOrder) => {
        const readListing = list(["a", SERVICE], ["b", SERVICE, false], ["c", SERVICE, false], ["new", SERVICE, false]);
        const ordered = await replacePrimary(createActor(readListing, syncReplicas, { verifiedFromMs: () => 0 }));
        expect(ordered.length > 0).toBe(mayOrder);
    },
);

it.each<[when: string, verifiedFromMs: number | undefined, mayOrder: boolean]>([
    ["since before it was removed", 500, false],
    ["since after it was removed", 5_000, true],
    ["never", undefined, false],
])("a replica that is not listed counts where the listing was checked %s", async (_when, verifiedFromMs, mayOrder) => {
    let offsetMs = -performance.now();
    const nowMs = (): number => performance.now() + offsetMs;
    const testActor = createActor(list(["a", SERVICE]), 1, { nowMs, verifiedFromMs: () => verifiedFromMs });
    const { actor, directory } = testActor;
    offsetMs += 1_000;
    ["b", "c"].forEach(id => recordAnswered(directory.services.get(SERVICE)!.knownLeader, id));
    actor.tick();
    // The actor handles its events after the present task.
    await delay(TICK_MS);
    directory.removeInstance("c");
    offsetMs += 60_000;
    expect(await replacePrimary(testActor)).toEqual(mayOrder ? expect.arrayContaining(["b"]) : []);
});
