import process from "node:process";
import { checkTargets } from "./check_targets.ts";
import { formatRun } from "./format_run.ts";
import { parseBenchOptions } from "./parse_bench_options.ts";
import { planRuns } from "./plan_runs.ts";
import { runPolicy } from "./run_policy.ts";

const options = parseBenchOptions(process.argv.slice(2));
const results = planRuns(options).map((run) => {
  const result = runPolicy(run);
  if (!options.isJson) {
    console.log(formatRun(result));
  }
  return result;
});
const targets = checkTargets(results);
if (options.isJson) {
  console.log(JSON.stringify({ options, results, targets }, null, 2));
}
for (const { target, scenario, isMet, detail } of targets) {
  console.error(`${isMet ? "met" : "MISSED"}: ${scenario}: ${target} (${detail})`);
}
process.exitCode = targets.every(({ isMet }) => isMet) ? 0 : 1;
