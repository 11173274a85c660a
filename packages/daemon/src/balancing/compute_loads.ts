import type { LoadState } from "./load_state.ts";
import { computeOwnLoads } from "./compute_own_loads.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Sums the load of every upstream over this host and the fresh reports of the others. */
export function computeLoads(state: LoadState, nowMs: number): Map<string, UpstreamLoad> {
  const total = computeOwnLoads(state);
  for (const { expiresMs, loads } of state.peers.values()) {
    if (nowMs > expiresMs) {
      continue;
    }
    for (const [id, load] of loads) {
      const sum = total.get(id) ?? { flights: 0, memoryTokens: 0, readingTokens: 0 };
      total.set(id, {
        flights: sum.flights + load.flights,
        memoryTokens: sum.memoryTokens + load.memoryTokens,
        readingTokens: sum.readingTokens + load.readingTokens,
      });
    }
  }
  return total;
}
