import type { UpstreamLoad } from "./upstream_load.ts";

/** Adds a load to the sum for one upstream. */
export function addLoad(
  loads: Map<string, UpstreamLoad>,
  id: string,
  added: UpstreamLoad,
): void {
  const load = loads.get(id);
  loads.set(id, {
    flights: (load?.flights ?? 0) + added.flights,
    memoryTokens: (load?.memoryTokens ?? 0) + added.memoryTokens,
    readingTokens: (load?.readingTokens ?? 0) + added.readingTokens,
  });
}
