import { PomeloturnError } from "@pomeloturn/errors/PomeloturnError";
import { ResultCode } from "@pomeloturn/errors/ResultCode";
import type { SystemStatus } from "@pomeloturn/types/SystemStatus";
import { Command, Option } from "clipanion";
import { callFirstReachable, callVm } from "../shared/callProcesses.ts";
import { OperatorCommand } from "../shared/OperatorCommand.ts";

/** `promote GROUP INSTANCE`: makes an instance the primary of its group by a planned promotion. */
export class PromoteCommand extends OperatorCommand {
    static override paths = [["promote"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Make an instance the primary of its group. The VM that holds the current primary runs the promotion.",
    });

    readonly group = Option.String();
    readonly instance = Option.String();

    protected async run(): Promise<void> {
        const { controllers, timeoutMs } = this.loadSettings();
        const status = await callFirstReachable<SystemStatus>(controllers, { command: "status" }, timeoutMs);
        const group = Object.hasOwn(status.groups, this.group) ? status.groups[this.group] : undefined;
        if (group === undefined || !Object.hasOwn(group.instances, this.instance)) {
            throw PomeloturnError.create(ResultCode.NoInstance, `instance ${this.group}/${this.instance} is not configured`);
        }
        const call = { command: "promote", arguments: { group: this.group, instance: this.instance } };
        this.printJson(await callVm(controllers, group.holder, call, timeoutMs));
    }
}
