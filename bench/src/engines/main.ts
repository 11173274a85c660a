import process from "node:process";
import { ENGINE_CHOICES } from "./engine_choices.ts";
import { runEngineLoad } from "./run_engine_load.ts";

const NOMINAL_LONG_PER_SECOND = 2.95;
const LOADS = [0.6, 1, 1.3];
const SIZES = [8, 80];
const SECONDS = 34;
const seed = Number(process.argv[2] ?? 1);

for (const size of SIZES) {
  for (const load of LOADS) {
    for (const [name, chooseEngine] of Object.entries(ENGINE_CHOICES)) {
      const figures = runEngineLoad({
        seed,
        hosts: size,
        engines: size,
        longPerSecond: NOMINAL_LONG_PER_SECOND * load * size / 8,
        seconds: SECONDS,
        reclaimEveryMs: Math.round(3_300 * 8 / size / 5) * 5,
        chooseEngine,
        migratesOnNotice: name === "daemon",
      });
      console.log(JSON.stringify({ size, load, policy: name, ...figures }));
    }
  }
}
