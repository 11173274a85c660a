/** Seedable source of random numbers. */
export interface RandomSource {
  /** Returns a float in `[0, 1)`. */
  nextFloat(): number;
  /** Returns an integer in `[0, bound)`. */
  nextInteger(bound: number): number;
  /** Returns `bytes` random bytes as lower-case hexadecimal. */
  nextHex(bytes: number): string;
}
