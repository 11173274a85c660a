import type { Fault } from "./fault.ts";
import type { BenchOptions } from "./parse_bench_options.ts";
import { POLICIES } from "./policies.ts";
import type { RunOptions } from "./run_options.ts";
import { SCENARIOS } from "./scenarios.ts";

const FAULTS: readonly Fault[] = ["death", "reclaim", "stale"];
const FAULT_LOAD = 100;
const DECLARED_SHARES = [0.1, 0.27, 1];
const MINUTE_MS = 60_000;

/** Plans the runs of one invocation: loads, faults, and shares of declared lengths. */
export function planRuns(options: BenchOptions): RunOptions[] {
  const scenarios = SCENARIOS.filter(({ name }) => options.scenarios.includes(name));
  const policies = POLICIES.filter(({ name }) => options.policies.includes(name));
  const durationMs = options.minutes * MINUTE_MS;
  const { seed } = options;
  return scenarios.flatMap((scenario) =>
    policies.flatMap((policy) => {
      const base = { scenario, policy, durationMs, seed };
      const plain = options.loads.map((loadPercent): RunOptions => ({
        ...base,
        loadPercent,
        fault: "none",
        declaredShare: 0,
      }));
      const faulty = plain
        .filter(({ loadPercent }) => options.isFull || loadPercent === FAULT_LOAD)
        .flatMap((run) => FAULTS.map((fault) => ({ ...run, fault })));
      const declared = plain
        .filter(({ loadPercent }) => policy === POLICIES[0] && loadPercent === FAULT_LOAD)
        .flatMap((run) => DECLARED_SHARES.map((declaredShare) => ({ ...run, declaredShare })));
      return [...plain, ...faulty, ...declared];
    })
  );
}
