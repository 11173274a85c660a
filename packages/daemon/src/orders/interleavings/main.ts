import process from "node:process";
import { checkOrders } from "./check_orders.ts";
import { SCENARIOS } from "./scenarios.ts";

const MIN_SCHEDULES = 200_000;
const isLong = process.argv.includes("--long");
const report = checkOrders(isLong ? SCENARIOS.long : SCENARIOS.short);
const schedules = report.scenarios.reduce((sum, scenario) => sum + scenario.schedules, 0);
const worlds = report.scenarios.reduce((sum, scenario) => sum + scenario.worlds, 0);
const violations = report.scenarios.filter((scenario) => scenario.violation !== undefined);
const missed = report.mutations.filter((mutation) => mutation.violation === undefined);
const isMet = violations.length === 0 && missed.length === 0 && schedules >= MIN_SCHEDULES;

if (process.argv.includes("--json")) {
  console.log(JSON.stringify({ isMet, schedules, worlds, ...report }, null, 2));
} else {
  for (const scenario of report.scenarios) {
    const end = scenario.violation ?? "every guarantee met";
    console.log(
      `${scenario.name}: ${scenario.schedules} schedules, ${scenario.worlds} states: ${end}`,
    );
  }
  for (const mutation of report.mutations) {
    console.log(`mutation "${mutation.name}": ${mutation.violation ?? "NOT DETECTED"}`);
  }
  console.log(`${schedules} schedules, ${worlds} states, ${missed.length} mutations not detected`);
}
process.exitCode = isMet ? 0 : 1;
