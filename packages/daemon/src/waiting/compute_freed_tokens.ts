import type { UpstreamLoad } from "../balancing/mod.ts";

/** Computes how many tokens of memory became free at each upstream between two loads of a host. */
export function computeFreedTokens(
  before: ReadonlyMap<string, UpstreamLoad>,
  after: ReadonlyMap<string, UpstreamLoad>,
): Map<string, number> {
  const freed = new Map<string, number>();
  for (const [id, { memoryTokens }] of before) {
    const tokens = memoryTokens - (after.get(id)?.memoryTokens ?? 0);
    if (tokens > 0) {
      freed.set(id, tokens);
    }
  }
  return freed;
}
