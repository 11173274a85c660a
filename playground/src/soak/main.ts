import { runSoak } from "@crocussail/platform/soak";
import { mkdirSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { startSoakProcess } from "./start_soak_process.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1-1" },
    hosts: { type: "string", default: "6" },
    seconds: { type: "string", default: "25" },
    program: { type: "string", default: "target/crocussaild.cjs" },
    network: { type: "string", default: "127.0.4" },
    only: { type: "string" },
    verbose: { type: "boolean", default: false },
  },
});
const [first = 1, last = first] = values.seeds.split("-").map(Number);
const directory = mkdtempSync(join(tmpdir(), "crocussail-soak-"));
console.log(`settings and logs: ${directory}`);
let failed = 0;
for (let seed = first; seed <= last; seed++) {
  const folder = join(directory, String(seed));
  mkdirSync(folder);
  const { findings, ...counts } = await runSoak({
    seed,
    hosts: Number(values.hosts),
    durationMs: Number(values.seconds) * 1_000,
    startProcess: (environment, logFile) => startSoakProcess(values.program, environment, logFile),
    directory: folder,
    network: values.network,
    ...(values.only === undefined ? {} : { only: values.only.split(",") }),
    ...(values.verbose ? { print: console.log } : {}),
  });
  failed += Number(findings.length > 0);
  console.log(`seed ${seed}: ${findings.length} findings, ${JSON.stringify(counts)}`);
  findings.forEach((finding) => console.log(`  ${finding}`));
}
process.exit(failed === 0 ? 0 : 1);
