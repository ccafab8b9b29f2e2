/** A registered VM that may relay tables. */
export interface RelayMember {
    readonly vm: string;
    readonly failureDomain: string;
    /** Address of its relay server, "host:port"; undefined for a VM without one. */
    readonly relayAddress: string | undefined;
}
