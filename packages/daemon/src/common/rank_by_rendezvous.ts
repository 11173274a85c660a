import { createHash } from "node:crypto";

/**
 * Orders candidates by rendezvous hash for `key`, highest first. Every daemon with the same
 * candidates gets the same order, and removing a candidate moves only the keys assigned to it.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: digestPair(key, candidate) }))
    .sort((left, right) =>
      right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1)
    )
    .map((entry) => entry.candidate);
}

function digestPair(key: string, candidate: string): number {
  return createHash("sha1").update(key).update("\0").update(candidate).digest().readUIntBE(0, 6);
}
