import { expect, it } from "vitest";
import { DrainOrders } from "./DrainOrders.ts";

it("does not lose a drain command whose message to the other controller was lost", () => {
    const sent: string[] = [];
    const leaving = new Set<string>();
    const orders = DrainOrders.create(vm => sent.push(vm));
    orders.order("vm-2", 0);
    orders.repeat(vm => leaving.has(vm), 1_000);
    expect(sent).toEqual(["vm-2", "vm-2"]);
    leaving.add("vm-2");
    orders.repeat(vm => leaving.has(vm), 2_000);
    orders.repeat(() => false, 3_000);
    expect(sent).toHaveLength(2);
});

it("does not repeat a drain command for ever", () => {
    let count = 0;
    const orders = DrainOrders.create(() => count++);
    orders.order("vm-2", 0);
    for (let nowMs = 1_000; nowMs < 100_000; nowMs += 1_000) {
        orders.repeat(() => false, nowMs);
    }
    expect(count).toBeLessThan(30);
});
