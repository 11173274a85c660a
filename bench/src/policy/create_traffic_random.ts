import { createSeededRandom } from "@crocussail/daemon";

/** Seeded random numbers for the traffic. */
export interface TrafficRandom {
  /** Returns a float in `[0, 1)`. */
  nextFloat(): number;
  /** Returns an exponential delay with the given mean. */
  nextExponential(mean: number): number;
  /** Returns a log-normal value with the given median. */
  nextLogNormal(median: number, sigma: number): number;
}

/** Creates the traffic's distributions on the project's seeded random source. */
export function createTrafficRandom(seed: number): TrafficRandom {
  const { nextFloat } = createSeededRandom(seed);
  const nextNormal = () =>
    Math.sqrt(-2 * Math.log(1 - nextFloat())) * Math.cos(2 * Math.PI * nextFloat());
  return {
    nextFloat,
    nextExponential: (mean) => -mean * Math.log(1 - nextFloat()),
    nextLogNormal: (median, sigma) => median * Math.exp(sigma * nextNormal()),
  };
}
