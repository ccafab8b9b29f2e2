/** A promotion order of the simulation. */
export interface SimulatedOrder {
    readonly holder: string;
    readonly fence: number;
    readonly instanceId: string;
    readonly atMs: number;
    /** Whether it got no answer, and may be executed late. */
    readonly isLost: boolean;
}

const countDistinct = (orders: readonly SimulatedOrder[], field: "holder" | "instanceId"): number =>
    new Set(orders.map(order => order[field])).size;

const findFences = (orders: readonly SimulatedOrder[], isFound: (orders: readonly SimulatedOrder[]) => boolean): readonly number[] =>
    [...new Set(orders.map(({ fence }) => fence))].filter(fence => isFound(orders.filter(each => each.fence === fence)));

/** Returns the fences under which more than one VM ordered, or more than one instance was to be promoted. */
export const findSharedFences = (orders: readonly SimulatedOrder[]): readonly number[] =>
    findFences(orders, each => countDistinct(each, "holder") > 1 || countDistinct(each, "instanceId") > 1);

/** Returns the fences under which more than one VM ordered, or a lost order could undo the promotion of another instance. */
export const findUnsafeFences = (orders: readonly SimulatedOrder[]): readonly number[] =>
    findFences(orders, sameFence => {
        const isUndoable = sameFence.some(({ isLost, instanceId }, index) =>
            isLost && sameFence.slice(index).some(later => later.instanceId !== instanceId)
        );
        return countDistinct(sameFence, "holder") > 1 || isUndoable;
    });

/** Returns the orders with a fence that is lower than that of an earlier order, or the same as in one of another VM. */
export const findStaleOrders = (orders: readonly SimulatedOrder[]): readonly SimulatedOrder[] =>
    orders.filter((order, index) =>
        orders.slice(0, index).some(({ fence, holder }) => fence > order.fence || (fence === order.fence && holder !== order.holder))
    );
