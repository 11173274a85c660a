// Runs one case: a temporary folder, a record of what was sent, answered and run, and an exit code.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
const MAX_RUN_MS = 110_000;

/**
 * Runs `play`, which returns the list of what broke the rule. `moduleUrl` is that of the case,
 * whose folder receives `record.txt`. The process exits with 1 if the rule was broken, 0 if it
 * held and 2 if the case could not run.
 */
export async function runScenario(moduleUrl, play) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const directory = mkdtempSync(join(tmpdir(), "crocussail-review-"));
  const startMs = performance.now();
  const lines = [];
  const record = (who, what, fields = {}) => {
    const atMs = performance.now() - startMs;
    const details = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(" ");
    lines.push(`${(atMs / 1_000).toFixed(3)} s  ${who}  ${what}  ${details}`.trimEnd());
    return atMs;
  };
  const cleanups = [];
  let code = COULD_NOT_RUN;
  // A case that is stopped ends as one that could not run, and leaves no process.
  const stopped = new Promise((_, reject) => {
    setTimeout(() => reject(new Error("the case took too long")), MAX_RUN_MS).unref();
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
      process.once(signal, () => reject(new Error(`the case was stopped by ${signal}`)));
    }
  });
  stopped.catch(() => {});
  try {
    const findings = await Promise.race([
      play({
        root: resolve(folder, "../.."),
        directory,
        record,
        hasTrouble: process.env.TROUBLE !== "0",
        addCleanup: (cleanup) => cleanups.unshift(cleanup),
      }),
      stopped,
    ]);
    findings.forEach((finding) => record("RULE", finding));
    code = findings.length === 0 ? HELD : BROKEN;
    record("RESULT", code === HELD ? "the rule held" : "the rule was broken");
  } catch (error) {
    record("RESULT", `the case could not run: ${error instanceof Error ? error.stack : error}`);
  }
  for (const cleanup of cleanups) {
    await cleanup();
  }
  if (process.env.KEEP === undefined) {
    rmSync(directory, { recursive: true, force: true });
  } else {
    lines.push(`kept: ${directory}`);
  }
  writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
  console.log(lines.filter((line) => /RULE|RESULT|kept/.test(line)).join("\n"));
  process.exit(code);
}
