import { type ILogObj, Logger } from "tslog";
import { standardOutput } from "./standardOutput.ts";

/** Logger that writes each entry as a JSON line. */
export type ProcessLogger = Logger<ILogObj>;

/**
 * Creates the logger of a process. It writes nothing if the environment variable `POMELOTURN_LOG` is "off".
 *
 * @param program name of the program; each line has it, with the VM's name
 * @param vm name of the VM that the process runs on
 */
export const createLogger = (program: string, vm: string): ProcessLogger =>
    new Logger<ILogObj>({
        name: `${program}@${vm}`,
        type: process.env["POMELOTURN_LOG"] === "off" ? "hidden" : "json",
        hideLogPositionForProduction: true,
        stylePrettyLogs: false,
        overwrite: { transportJSON: line => standardOutput().write(JSON.stringify(line)) },
    });
