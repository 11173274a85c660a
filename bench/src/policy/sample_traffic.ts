import { createTrafficRandom } from "./create_traffic_random.ts";
import { estimateCapacity } from "./estimate_capacity.ts";
import { sampleRequest } from "./sample_request.ts";
import type { Scenario } from "./scenario.ts";
import type { TrafficRequest } from "./traffic_request.ts";

/** Options of {@link sampleTraffic}. */
export interface TrafficOptions {
  readonly scenario: Scenario;
  /** Share of the capacity, in percent. */
  readonly loadPercent: number;
  readonly declaredShare: number;
  readonly durationMs: number;
  readonly seed: number;
}

const BURST_SHARE = 0.1;
const BURST_SIZE = 4;
const BURST_SPACING_MS = 50;

/** Samples the requests of one run by arrival time: Poisson arrivals, some of them in bursts. */
export function sampleTraffic(options: TrafficOptions): TrafficRequest[] {
  const requests: TrafficRequest[] = [];
  const meanBurst = 1 + BURST_SHARE * (BURST_SIZE - 1);
  for (const group of options.scenario.groups.keys()) {
    const random = createTrafficRandom(options.seed * 100 + group);
    const perSecond = estimateCapacity(options.scenario, group) * options.loadPercent / 100;
    const meanGapMs = 1_000 * meanBurst / perSecond;
    for (let atMs = 0; atMs < options.durationMs; atMs += random.nextExponential(meanGapMs)) {
      const size = random.nextFloat() < BURST_SHARE ? BURST_SIZE : 1;
      for (let index = 0; index < size; index++) {
        const sample = sampleRequest({ ...options, group, random });
        const id = `${group}-${requests.length}`;
        requests.push({ ...sample, id, atMs: atMs + index * BURST_SPACING_MS });
      }
    }
  }
  return requests.sort((left, right) => left.atMs - right.atMs);
}
