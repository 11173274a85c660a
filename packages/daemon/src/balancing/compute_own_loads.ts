import { addLoad } from "./add_load.ts";
import { estimateFlightTokens } from "./estimate_flight_tokens.ts";
import type { LoadState } from "./load_state.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Sums this host's in-flight requests and their KV cache copies by upstream. */
export function computeOwnLoads(state: Pick<LoadState, "flights">): Map<string, UpstreamLoad> {
  const loads = new Map<string, UpstreamLoad>();
  for (const flight of state.flights.values()) {
    const memoryTokens = estimateFlightTokens(flight);
    const readingTokens = flight.isReading ? flight.promptTokens : 0;
    addLoad(loads, flight.upstreamId, { flights: 1, memoryTokens, readingTokens });
    if (flight.copyUpstreamId !== undefined) {
      addLoad(loads, flight.copyUpstreamId, { flights: 0, memoryTokens, readingTokens: 0 });
    }
  }
  return loads;
}
