import process from "node:process";
import type { BenchSection } from "./bench_section.ts";
import { measureMembershipCost } from "./measure_membership_cost.ts";
import { measureEntry } from "./measure_entry.ts";
import { measureMembership } from "./measure_membership.ts";
import { measurePlacement } from "./measure_placement.ts";
import { measureSettings } from "./measure_settings.ts";

/** Measures the control plane of a fleet; prints missed targets and then exits with code 1. */
const sections: BenchSection[] = [
  measureMembership(),
  measureMembershipCost(),
  measureEntry(),
  await measureSettings(),
  await measurePlacement(),
];
if (process.argv.includes("--json")) {
  console.log(JSON.stringify(sections, undefined, 2));
} else {
  for (const { name, rows } of sections) {
    console.log(`\n${name}`);
    console.table(rows);
  }
}
const missed = sections.flatMap((section) =>
  section.missed.map((text) => `${section.name}: ${text}`)
);
missed.forEach((text) => console.error(`missed: ${text}`));
process.exitCode = missed.length === 0 ? 0 : 1;
