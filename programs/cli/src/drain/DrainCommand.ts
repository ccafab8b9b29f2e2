import { Command, Option } from "clipanion";
import { callVm } from "../shared/callProcesses.ts";
import { OperatorCommand } from "../shared/OperatorCommand.ts";

/** `drain VM`: shuts a VM down gracefully, without aborting running requests. */
export class DrainCommand extends OperatorCommand {
    static override paths = [["drain"]];
    static override usage = Command.Usage({
        category: "System",
        description: "Shut a VM down gracefully: transfer its instances, finish its requests, then stop its processes.",
    });

    readonly vm = Option.String();

    protected async run(): Promise<void> {
        const { controllers, timeoutMs } = this.loadSettings();
        const call = { command: "drain", arguments: { vm: this.vm } };
        this.printJson(await callVm(controllers, this.vm, call, timeoutMs));
    }
}
