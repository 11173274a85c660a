import process from "node:process";
import { checkTargets } from "./check_targets.ts";
import { formatRun } from "./format_run.ts";
import { measureSpread } from "./measure_spread.ts";
import { parseBenchOptions } from "./parse_bench_options.ts";
import { planRuns } from "./plan_runs.ts";
import { runPolicy } from "./run_policy.ts";

const options = parseBenchOptions(process.argv.slice(2));
function runScenarios(): void {
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
}

function runSpread(): void {
  const figures = measureSpread(options.seed);
  if (options.isJson) {
    console.log(JSON.stringify({ options, figures }, null, 2));
    return;
  }
  for (const { hosts, reportIntervalMs, way, spread, idleShare, refusedShare } of figures) {
    console.log(
      `${hosts} hosts, reports each ${reportIntervalMs} ms, ${way}: largest by mean ` +
        `${spread.toFixed(2)}, idle ${idleShare.toFixed(3)}, refused ${refusedShare.toFixed(3)}`,
    );
  }
}

if (options.isSpreadOnly) {
  runSpread();
} else {
  runScenarios();
}
