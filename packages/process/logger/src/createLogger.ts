import { type ILogObj, Logger } from "tslog";
import { standardOutput } from "./standardOutput.ts";

/** A logger that writes a JSON line for each change of state. */
export type ProcessLogger = Logger<ILogObj>;

/** @param program name of the process, in every line; @param vm name of the VM it runs on */
export const createLogger = (program: string, vm: string): ProcessLogger =>
    new Logger<ILogObj>({
        name: `${program}@${vm}`,
        type: process.env["POMELOTURN_LOG"] === "off" ? "hidden" : "json",
        hideLogPositionForProduction: true,
        stylePrettyLogs: false,
        overwrite: { transportJSON: line => standardOutput().write(JSON.stringify(line)) },
    });
