import type { FillCandidate } from "./fill_candidate.ts";

/** Halvings of the interval of levels; they reach a thousandth of a request. */
const LEVEL_STEPS = 40;

/**
 * Computes how many of `count` requests, at least one, each candidate receives if the cheapest ones are filled
 * first, up to one level of cost. Hosts that choose at the same moment on the same loads, each at
 * random in proportion to these numbers, together place their requests about as one host would that
 * places all of them in turn.
 */
export function computeFillShares(candidates: readonly FillCandidate[], count: number): number[] {
  const usable = candidates.filter(({ cost, room }) => Number.isFinite(cost) && room > 0);
  if (usable.length === 0) {
    return candidates.map(() => 0);
  }
  const computeShare = ({ cost, addedCost, room }: FillCandidate, level: number) =>
    cost >= level ? 0 : Math.min(room, (level - cost) / addedCost);
  const computeTotal = (level: number) =>
    usable.reduce((sum, candidate) => sum + computeShare(candidate, level), 0);
  let low = Math.min(...usable.map(({ cost }) => cost));
  // At this level the cheapest candidate alone, or all of them together, take the whole number.
  let high = Math.max(
    ...usable.map(({ cost, addedCost, room }) => cost + Math.min(room, count) * addedCost),
  );
  for (let step = 0; step < LEVEL_STEPS; step++) {
    const level = (low + high) / 2;
    computeTotal(level) < count ? low = level : high = level;
  }
  return candidates.map((candidate) =>
    Number.isFinite(candidate.cost) && candidate.room > 0 ? computeShare(candidate, high) : 0
  );
}
