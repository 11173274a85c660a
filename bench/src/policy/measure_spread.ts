import { computeSpread, runChoices } from "@crocussail/daemon/balancing";
import { createSeededRandom } from "../fleet/create_seeded_random.ts";
import { SPREAD_CHOICES } from "./spread_choices.ts";

const HOSTS = [8, 23, 69, 195];
const REPORT_INTERVALS_MS = [10, 100, 1_000];
const LOAD = { upstreams: 50, slots: 24, perSecond: 1_000, durationMs: 1_000, seconds: 5 };
const FILLED_MS = 2_000;

/** Spread of the load over 50 engines with 20 requests each, by way to choose. */
export interface SpreadFigures {
  readonly hosts: number;
  readonly reportIntervalMs: number;
  readonly way: string;
  /** Largest load by the mean. */
  readonly spread: number;
  /** Share of engines without a request. */
  readonly idleShare: number;
  /** Share of requests for which no engine seemed to have room. */
  readonly refusedShare: number;
}

/** Plays each way to choose at each fleet size and report interval. */
export function measureSpread(seed: number): SpreadFigures[] {
  return HOSTS.flatMap((hosts) =>
    REPORT_INTERVALS_MS.flatMap((reportIntervalMs) =>
      Object.entries(SPREAD_CHOICES).map(([way, choose]) => {
        const random = createSeededRandom(seed);
        const samples = runChoices({ ...LOAD, hosts, reportIntervalMs, random, choose });
        const filled = samples.filter(({ atMs }) => atMs >= FILLED_MS);
        const counts = filled.flatMap((sample) => sample.counts);
        return {
          hosts,
          reportIntervalMs,
          way,
          spread: computeSpread(samples, FILLED_MS),
          idleShare: counts.filter((count) => count === 0).length / counts.length,
          refusedShare: (samples.at(-1)?.refused ?? 0) / (LOAD.perSecond * LOAD.seconds),
        };
      })
    )
  );
}
