import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random numbers for the traffic. */
export interface SeededRandom {
  /** Returns a float in `[0, 1)`. */
  nextFloat(): number;
  /** Returns an exponential delay with the given mean. */
  nextExponential(mean: number): number;
  /** Returns a log-normal value with the given median. */
  nextLogNormal(median: number, sigma: number): number;
}

const RANGE = 2 ** 32;

/** Creates a seeded random source. */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  const nextFloat = () => (generator.next() >>> 0) / RANGE;
  const nextNormal = () =>
    Math.sqrt(-2 * Math.log(1 - nextFloat())) * Math.cos(2 * Math.PI * nextFloat());
  return {
    nextFloat,
    nextExponential: (mean) => -mean * Math.log(1 - nextFloat()),
    nextLogNormal: (median, sigma) => median * Math.exp(sigma * nextNormal()),
  };
}
