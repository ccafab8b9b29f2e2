import type { SystemStatus } from "@pomeloturn/types/SystemStatus";
import { Command, Option } from "clipanion";
import { callFirstReachable, callVm, type ProcessCall } from "../shared/callProcesses.ts";
import { OperatorCommand } from "../shared/OperatorCommand.ts";
import { formatStatus } from "./formatStatus.ts";

/** `status [--json] [--vm VM]`: shows the status of the system as seen by one controller. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Show groups, instances, VMs and links as seen by one controller: that of --vm, or the first that answers.",
    });

    readonly isJson = Option.Boolean("--json", false);
    readonly vm = Option.String("--vm", { description: "VM whose controller is asked; by default the first that answers" });

    protected async run(): Promise<void> {
        const { controllers, timeoutMs } = this.loadSettings();
        const call: ProcessCall = { command: "status" };
        const status = this.vm === undefined
            ? await callFirstReachable<SystemStatus>(controllers, call, timeoutMs)
            : await callVm<SystemStatus>(controllers, this.vm, call, timeoutMs);
        if (this.isJson) {
            this.printJson(status);
            return;
        }
        this.print(formatStatus(status));
    }
}
