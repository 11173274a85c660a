import type { RandomSource } from "@crocussail/protocol";
import { randomBytes, randomInt } from "node:crypto";

const FLOAT_BITS = 2 ** 48;

/** Creates a random source that uses the operating system's generator. */
export function createSystemRandom(): RandomSource {
  return {
    nextFloat: () => randomBytes(6).readUIntBE(0, 6) / FLOAT_BITS,
    nextInteger: (bound) => randomInt(bound),
    nextHex: (bytes) => randomBytes(bytes).toString("hex"),
  };
}
