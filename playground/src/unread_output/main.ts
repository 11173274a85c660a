import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { checkUnreadOutput } from "./check_unread_output.ts";

const [program = "target/crocussaild.cjs"] = process.argv.slice(2);
const directory = await mkdtemp(join(tmpdir(), "crocussail-"));
try {
  const finding = await checkUnreadOutput(program, directory);
  console.log(finding ?? "a process whose output is not read ends in its grace period");
  process.exitCode = finding === undefined ? 0 : 1;
} finally {
  await rm(directory, { recursive: true });
}
