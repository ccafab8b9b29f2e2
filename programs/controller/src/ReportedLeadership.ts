import type { pomeloturn } from "@pomeloturn/control-messages/generated/control";
import type { GroupLeadership } from "@pomeloturn/types/Leadership";

type LeadershipByGroup = ReadonlyMap<string, GroupLeadership>;

/**
 * Leadership of groups as other controllers report it, for groups whose rows this VM could not read. It is used for
 * routing only: a holder refuses requests that are based on an outdated term.
 */
export class ReportedLeadership {
    private readonly groups = new Map<string, GroupLeadership>();

    private constructor() {}

    static create(): ReportedLeadership {
        return new ReportedLeadership();
    }

    /** Whether the row of at least one group has not been read. */
    hasUnreadGroup(groups: readonly string[], fromRows: LeadershipByGroup): boolean {
        return groups.some(group => !fromRows.has(group));
    }

    /** Adds the reported leadership of the groups that are missing in `fromRows`. */
    mergeWithRows(fromRows: LeadershipByGroup): LeadershipByGroup {
        return this.groups.size === 0 ? fromRows : new Map([...this.groups, ...fromRows]);
    }

    /** Builds the report for another controller from the rows that this VM has read. */
    buildReport(fromRows: LeadershipByGroup): pomeloturn.control.ILeadership {
        return {
            groups: [...fromRows.values()].map(({ group, term, primary, holder, history }) => ({
                group,
                term,
                primary,
                history: [...history],
                holders: { [primary]: holder },
            })),
        };
    }

    /** Stores the reported leadership of each group unless a later term is known. */
    recordReport(leadership: pomeloturn.control.ILeadership): void {
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
