import type { RandomSource } from "@crocussail/protocol";

/** Selects up to `count` successive entries from a random one on; the first follows the last. */
export function selectRandom<T>(entries: readonly T[], count: number, random: RandomSource): T[] {
  if (entries.length === 0) {
    return [];
  }
  const start = random.nextInteger(entries.length);
  return [...entries.slice(start), ...entries.slice(0, start)].slice(0, count);
}
