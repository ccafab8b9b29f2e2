/** A registered VM with which this VM exchanges messages about allowances. */
export interface AllowanceMember {
    readonly vm: string;
    readonly region: string;
    /** Version of the registration in the store: higher than those of VMs that registered before. */
    readonly version: number;
    /** Address of its datagrams, "host:port"; undefined for a VM of a version without allowances. */
    readonly address: string | undefined;
}
