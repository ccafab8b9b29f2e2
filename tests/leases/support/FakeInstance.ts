import type { InstanceProbe } from "@pomeloturn/types/Leadership";

/** A write in a database's log. */
export interface LogEntry {
    readonly id: number;
    readonly committedAtMs: number;
}

/** A database server with its log; a position is a number of entries. */
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

    /** Takes what the upstream has committed; a log that diverged takes nothing. */
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
