import { markUpstreamCold } from "./mark_upstream_cold.ts";
import type { UpstreamState } from "./upstream_state.ts";

/**
 * Records that all upstreams of a data centre are cold until `untilMs`: they may have become so while
 * nothing was sent there. It has no effect on services without a cold rate.
 */
export function markDataCentreCold(
  state: Pick<UpstreamState, "upstreams">,
  dataCentre: string,
  untilMs: number,
): void {
  for (const { record } of [...state.upstreams.values()]) {
    if (record.dataCentre === dataCentre) {
      markUpstreamCold(state, record, untilMs);
    }
  }
}
