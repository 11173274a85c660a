/** Command `npm run bench:relay`: latency, throughput and memory of relayed streams. @module */
import process from "node:process";
import { listMissedTargets } from "./list_missed_targets.ts";
import { measureRelay } from "./measure_relay.ts";
import { renderRelayFigures } from "./render_relay_figures.ts";
import { startRelayFixture } from "./start_relay_fixture.ts";

const fixture = await startRelayFixture();
const figures = await measureRelay(fixture);
const missed = listMissedTargets(figures);
await fixture.close();
const output = process.argv.includes("--json")
  ? JSON.stringify({ figures, missed }, undefined, 2)
  : renderRelayFigures(figures);
console.log(output);
missed.forEach((target) => console.error(`target missed: ${target}`));
process.exit(missed.length === 0 ? 0 : 1);
