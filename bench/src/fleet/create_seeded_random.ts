import type { RandomSource } from "@crocussail/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a random source that returns the same sequence for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInteger: (bound) => uniformInt(generator, 0, bound - 1),
    nextHex: (bytes) =>
      Array.from(
        { length: bytes },
        () => uniformInt(generator, 0, 255).toString(16).padStart(2, "0"),
      ).join(""),
  };
}
