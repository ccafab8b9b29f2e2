import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/** A committed write in an instance's log. */
export interface LogEntry {
    readonly id: number;
    readonly committedAtMs: number;
}

/** A simulated database instance. A position in its log is a number of entries. */
export class FakeInstance {
    log: LogEntry[] = [];
    timeline = 1;
    isDown = false;
    pausedUntilMs = 0;
    lagMs = 2;

    constructor(readonly name: string, readonly failureDomain: string, public isReplica: boolean, public upstream: string) {}

    probe(): InstanceProbe {
        return { isReplica: this.isReplica, position: this.log.length, timeline: this.timeline };
    }

    promote(): void {
        if (this.isReplica) {
            this.isReplica = false;
            this.upstream = "";
            this.timeline++;
        }
    }

    follow(upstream: string): void {
        if (this.isReplica) {
            this.upstream = upstream;
        }
    }

    /** Copies the upstream's commits that are older than the replication lag; a diverged log copies nothing. */
    replicate(upstream: FakeInstance, nowMs: number): void {
        const { log } = this;
        if (log.length > upstream.log.length || (log.length > 0 && upstream.log[log.length - 1] !== log.at(-1))) {
            return;
        }
        this.timeline = Math.max(this.timeline, upstream.timeline);
        while (log.length < upstream.log.length && upstream.log[log.length]!.committedAtMs + this.lagMs <= nowMs) {
            log.push(upstream.log[log.length]!);
        }
    }
}
