import { addLoad } from "./add_load.ts";
import { estimateMemoryTokens } from "./estimate_memory_tokens.ts";
import type { LoadState } from "./load_state.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Sums this host's in-flight requests and their KV cache copies by upstream. */
export function computeLocalLoads(
  state: Pick<LoadState, "inFlightRequests">,
): Map<string, UpstreamLoad> {
  const loads = new Map<string, UpstreamLoad>();
  for (const flight of state.inFlightRequests.values()) {
    const memoryTokens = estimateMemoryTokens(flight);
    const readingTokens = flight.isPrefilling ? flight.promptTokens : 0;
    addLoad(loads, flight.upstreamId, {
      inFlight: 1,
      memoryTokens,
      prefillingTokens: readingTokens,
    });
    if (flight.copyUpstreamId !== undefined) {
      addLoad(loads, flight.copyUpstreamId, { inFlight: 0, memoryTokens, prefillingTokens: 0 });
    }
  }
  return loads;
}
