import { join } from "node:path";
import { loadProgram } from "./loadProgram.ts";

// A SIGHUP that arrives before the program handles it would end the process. The settings have not been read yet.
process.on("SIGHUP", () => undefined);

const program = loadProgram(join(__dirname, "program.cjs"), join(__dirname, "program.cache"));
if (!program.isCacheUsed) {
    process.emitWarning("the code cache of the program was not used; this start takes longer");
}
program.exports.main();
