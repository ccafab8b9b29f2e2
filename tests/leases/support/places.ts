/** The place of the platform. */
export const STORE = "store";
export const DOMAINS = ["north-a", "north-b", "south-a"];
/** Region of each failure domain; the store is a place of its own in the first region. */
const REGIONS: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south", [STORE]: "north" };

/** One-way latency between two failure domains, of the size of the users' today. */
export const oneWayLatencyMs = (from: string, to: string): number => {
    if (from === to) {
        return 0.3;
    }
    return REGIONS[from] === REGIONS[to] ? 1.5 : 12;
};
