import { addLoad } from "./add_load.ts";
import type { LoadState } from "./load_state.ts";
import { computeLocalLoads } from "./compute_local_loads.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Sums the load of each upstream over this host and the unexpired reports of its peers. */
export function computeLoads(state: LoadState, nowMs: number): Map<string, UpstreamLoad> {
  const total = computeLocalLoads(state);
  for (const { expiresAtMs, loads } of state.peers.values()) {
    if (nowMs > expiresAtMs) {
      continue;
    }
    loads.forEach((load, id) => addLoad(total, id, load));
  }
  return total;
}
