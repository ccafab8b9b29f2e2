import type { ReadTimes } from "@pomeloturn/follow-table/chooseReadTimes";
import { OPERATOR_TABLE } from "@pomeloturn/platform/tables";

/** Changes of the configuration have to be in force within seconds, also when the relay loses the store. */
const LONGEST_CONFIGURATION_WAIT_MS = 1_500;
const LONGEST_LISTING_WAIT_MS = 3_000;

/** Chooses the time limits of calls to the store while this VM relays a table. @param times limits without a relay */
export const chooseRelayedReadTimes = (table: string, { waitMs, marginMs }: ReadTimes): ReadTimes => ({
    waitMs: Math.min(waitMs, table === OPERATOR_TABLE ? LONGEST_CONFIGURATION_WAIT_MS : LONGEST_LISTING_WAIT_MS),
    marginMs,
});
