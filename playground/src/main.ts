import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { runFaults } from "./run_faults.ts";

/**
 * Runs a fleet of separate processes under load while daemons are killed, paused, shut down and
 * replaced. Exits with code 1 when a guarantee was violated.
 */
const directory = await mkdtemp(join(tmpdir(), "crocussail-"));
try {
  const failures = await runFaults(directory, (line) => console.log(line));
  failures.forEach((failure) => console.error(`guarantee violated: ${failure}`));
  process.exitCode = failures.length === 0 ? 0 : 1;
} finally {
  await rm(directory, { recursive: true });
}
