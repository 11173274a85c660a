import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { checkInstallation } from "./check_installation.ts";

const directory = await mkdtemp(join(tmpdir(), "crocussail-"));
try {
  const findings = checkInstallation(directory);
  console.log(findings.join("\n") || "packages of other machines are installed anew");
  process.exitCode = findings.length === 0 ? 0 : 1;
} finally {
  await rm(directory, { recursive: true });
}
