import type { SoakProcess } from "@crocussail/platform/soak";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";

/** Heap limit of the deployed program, in MB. */
const MAX_HEAP_MB = 96;

/** Starts a bundled program; it appends its output to `logFile`. */
export function startSoakProcess(
  program: string,
  environment: Readonly<Record<string, string>>,
  logFile: string,
): SoakProcess {
  const log = openSync(logFile, "a");
  const child = spawn(process.execPath, [`--max-old-space-size=${MAX_HEAP_MB}`, program], {
    env: { PATH: process.env["PATH"], ...environment },
    stdio: ["ignore", log, log],
  });
  closeSync(log);
  return {
    kill: (signal) => child.kill(signal),
    ended: new Promise((resolve) =>
      child.once("exit", (code, signal) => resolve(`code ${code}, signal ${signal}`))
    ),
  };
}
