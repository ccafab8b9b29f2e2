import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";

type Leaderships = ReadonlyMap<string, GroupLeadership>;

/**
 * Who leads the groups whose rows this VM could not read, as other controllers told it. It only routes: what is
 * out of date is refused by the holder.
 */
export class LearnedLeadership {
    private readonly groups = new Map<string, GroupLeadership>();

    private constructor() {}

    static create(): LearnedLeadership {
        return new LearnedLeadership();
    }

    /** Whether a group is known neither here nor by its row. */
    isMissing(groups: readonly string[], own: Leaderships): boolean {
        return groups.some(group => !own.has(group));
    }

    /** What is known by rows, and for the rest what was told. */
    complete(own: Leaderships): Leaderships {
        return this.groups.size === 0 ? own : new Map([...this.groups, ...own]);
    }

    describe(own: Leaderships): pomeloturn.control.ILeadership {
        return {
            groups: [...own.values()].map(({ group, term, primary, holder, history }) => ({
                group,
                term,
                primary,
                history: [...history],
                holders: { [primary]: holder },
            })),
        };
    }

    learn(leadership: pomeloturn.control.ILeadership): void {
        for (const { group, term, primary, holders, history } of leadership.groups ?? []) {
            const known = this.groups.get(group ?? "");
            if (known === undefined || (term ?? 0) >= known.term) {
                this.groups.set(group ?? "", {
                    group: group ?? "",
                    rowVersion: 0,
                    term: term ?? 0,
                    primary: primary ?? "",
                    holder: holders?.[primary ?? ""] ?? "",
                    history: (history ?? []).map(start => ({ term: start.term ?? 0, position: start.position ?? 0 })),
                    witnesses: [],
                    leaseExpiresAtMs: undefined,
                });
            }
        }
    }
}
