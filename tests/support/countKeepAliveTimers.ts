import { readFileSync } from "node:fs";

const ESTABLISHED = "01";
const KEEP_ALIVE_TIMER = "02";
const HEXADECIMAL = 16;

/** Counts the connections to or from a port whose end at this port is `side`, and those of them that the kernel probes when they are idle. */
export const countKeepAliveTimers = (
    port: number,
    side: "local" | "remote",
): { readonly connections: number; readonly probed: number; } => {
    const rows = readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1).map(line => line.trim().split(/\s+/));
    const column = side === "local" ? 1 : 2;
    const found = rows.filter(fields => fields[3] === ESTABLISHED && parseInt(fields[column]!.split(":")[1]!, HEXADECIMAL) === port);
    return { connections: found.length, probed: found.filter(fields => fields[5]!.startsWith(`${KEEP_ALIVE_TIMER}:`)).length };
};
