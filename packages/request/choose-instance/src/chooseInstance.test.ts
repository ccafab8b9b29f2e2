import type { Configuration, InstanceConfiguration } from "@pomeloturn/types/Configuration";
import type { GroupView } from "@pomeloturn/types/ControlView";
import { instanceKey, type InstanceStatus } from "@pomeloturn/types/InstanceStatus";
import { beforeEach, describe, expect, it } from "vitest";
import { chooseInstance, type RoutingInputs } from "./chooseInstance.ts";
import { RoutingStatistics } from "./RoutingStatistics.ts";

const NOW_MS = 10_000;
const POSITION = { term: 1, position: 100 };

const instance = (failureDomain: string): InstanceConfiguration => ({
    host: "127.0.0.1",
    port: 1,
    failureDomain,
    slots: 2,
    connections: 16,
});

const configuration: Configuration = {
    failureDomains: { "cluj-a": "ro-nord", "cluj-b": "ro-nord", "buc-a": "ro-sud" },
    latency: { betweenFailureDomainsMs: 1.5, betweenRegionsMs: 12 },
    services: {},
    groups: {
        "log-1": {
            database: "log",
            user: "proxy",
            password: "backend",
            instances: { one: instance("cluj-a"), two: instance("cluj-b"), three: instance("buc-a") },
        },
    },
    links: [],
};

const groupView: GroupView = {
    term: 1,
    primary: "one",
    history: [{ term: 1, position: 0 }],
    holders: { one: "vm-1", two: "vm-2", three: "vm-3" },
};

const status = (position: number, queuedCount = 0): InstanceStatus => ({
    replayed: { term: 1, position },
    primarySample: { term: 1, position },
    primarySampledAtMs: NOW_MS,
    receivedAtMs: NOW_MS,
    freeSlots: queuedCount > 0 ? 0 : 2,
    queued: [queuedCount, 0, 0],
    credits: [],
    isReachable: true,
    serviceTimeUs: 20_000,
});

const read = { group: "log-1", position: POSITION, maximumAgeMs: undefined, excluded: new Set<string>() };

describe("chooseInstance", () => {
    let statuses: Map<string, InstanceStatus>;
    let statistics: RoutingStatistics;

    beforeEach(() => {
        statuses = new Map([[instanceKey("log-1", "two"), status(100)], [instanceKey("log-1", "three"), status(100)]]);
        statistics = RoutingStatistics.create();
    });

    const choose = (changes: Partial<RoutingInputs> = {}, excluded: ReadonlySet<string> = new Set()): string | undefined =>
        chooseInstance({ ...read, excluded }, {
            configuration,
            groupView,
            statuses,
            statistics,
            failureDomain: "cluj-a",
            sinceWriteMs: 0,
            nowMs: NOW_MS,
            ...changes,
        });

    it("chooses the nearest of equally busy replicas", () => {
        expect(choose()).toBe("two");
        expect(choose({ failureDomain: "buc-a" })).toBe("three");
    });

    it("prefers a farther replica to a long queue, but not to a short one", () => {
        statuses.set(instanceKey("log-1", "two"), status(100, 5));
        expect(choose()).toBe("three");
        statuses.set(instanceKey("log-1", "two"), status(100, 1));
        expect(choose()).toBe("two");
    });

    it("counts its own outstanding requests that no report includes yet", () => {
        for (let sent = 0; sent < 6; sent++) {
            statistics.countSent(instanceKey("log-1", "two"));
        }
        expect(choose()).toBe("three");
    });

    it("chooses the primary until a replica is expected to have replayed the write", () => {
        statuses.set(instanceKey("log-1", "two"), status(90));
        statuses.set(instanceKey("log-1", "three"), status(90));
        expect(choose({ sinceWriteMs: 10 })).toBe("one");
        expect(choose({ sinceWriteMs: 60 })).toBe("two");
    });

    it("avoids a replica longer after it was found behind, and tries it again after some reads", () => {
        statuses.set(instanceKey("log-1", "two"), status(90));
        statuses.delete(instanceKey("log-1", "three"));
        const view = { ...groupView, holders: { one: "vm-1", two: "vm-2" } };
        statistics.recordLag(instanceKey("log-1", "two"), 200, true);
        expect(choose({ groupView: view, sinceWriteMs: 250 })).toBe("one");
        const later = Array.from({ length: 20 }, () => choose({ groupView: view, sinceWriteMs: 250 }));
        expect(later.at(-1)).toBe("two");
    });

    it("sends no read to a leaving instance", () => {
        expect(choose({ groupView: { ...groupView, leavingInstances: ["two"] } })).toBe("three");
        expect(choose({ groupView: { ...groupView, leavingInstances: ["two", "three"] } })).toBe("one");
    });

    it("chooses no instance when all were already tried", () => {
        expect(choose({}, new Set(["one", "two", "three"]))).toBeUndefined();
    });
});
