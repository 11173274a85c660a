import type { RandomSource } from "@crocussail/protocol";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 2 ** 32;

/** Creates a random source that returns the same sequence for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const nextFloat = () => (generator.next() >>> 0) / UINT32_RANGE;
  const nextInteger = (bound: number) => Math.floor(nextFloat() * bound);
  return {
    nextFloat,
    nextInteger,
    nextHex: (bytes) =>
      Array.from({ length: bytes }, () => nextInteger(256).toString(16).padStart(2, "0")).join(""),
  };
}
