/** Name of the node of the platform, which hosts the store. */
export const STORE = "store";
export const DOMAINS = ["north-a", "north-b", "south-a"];
/** Region of each failure domain. The store is a node outside the failure domains, in the first region. */
const REGIONS: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south", [STORE]: "north" };

/** Returns the one-way latency in milliseconds between two failure domains, close to the latencies in the users' network. */
export const oneWayLatencyMs = (from: string, to: string): number => {
    if (from === to) {
        return 0.3;
    }
    return REGIONS[from] === REGIONS[to] ? 1.5 : 12;
};
