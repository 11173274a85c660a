import type { UpstreamLoad } from "./upstream_load.ts";

/** Adds a load to the sum for one upstream. */
export function addLoad(
  loads: Map<string, UpstreamLoad>,
  id: string,
  added: UpstreamLoad,
): void {
  const load = loads.get(id);
  loads.set(id, {
    inFlight: (load?.inFlight ?? 0) + added.inFlight,
    memoryTokens: (load?.memoryTokens ?? 0) + added.memoryTokens,
    prefillingTokens: (load?.prefillingTokens ?? 0) + added.prefillingTokens,
  });
}
