import { addLoad } from "./add_load.ts";
import { estimateMemoryTokens } from "./estimate_memory_tokens.ts";
import type { LoadState } from "./load_state.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Sums this host's in-flight requests and their KV cache copies by upstream. */
export function computeLocalLoads(
  state: Pick<LoadState, "inFlightRequests">,
): Map<string, UpstreamLoad> {
  const loads = new Map<string, UpstreamLoad>();
  for (const inFlight of state.inFlightRequests.values()) {
    const memoryTokens = estimateMemoryTokens(inFlight);
    const prefillingTokens = inFlight.isPrefilling ? inFlight.promptTokens : 0;
    addLoad(loads, inFlight.upstreamId, {
      inFlight: 1,
      memoryTokens,
      prefillingTokens,
    });
    for (const id of [inFlight.copyUpstreamId, inFlight.moveUpstreamId]) {
      if (id !== undefined) {
        addLoad(loads, id, { inFlight: 0, memoryTokens, prefillingTokens: 0 });
      }
    }
  }
  return loads;
}
