import type { RandomSource } from "@crocussail/protocol";

/** Chooses an index at random in proportion to the shares; undefined if all of them are 0. */
export function chooseByShare(
  shares: readonly number[],
  random: Pick<RandomSource, "nextFloat">,
): number | undefined {
  const total = shares.reduce((sum, share) => sum + share, 0);
  if (total <= 0) {
    return undefined;
  }
  let left = random.nextFloat() * total;
  const index = shares.findIndex((share) => {
    left -= share;
    return share > 0 && left < 0;
  });
  return index >= 0 ? index : shares.findLastIndex((share) => share > 0); // rounding of the sum
}
