import { markUpstreamCold } from "./mark_upstream_cold.ts";
import type { UpstreamState } from "./upstream_state.ts";

/**
 * Records that all upstreams of a data centre are cold until the time that applies to their service:
 * they may have become so while nothing was sent there. It has no effect on services without a cold
 * rate.
 */
export function markDataCentreCold(
  state: Pick<UpstreamState, "upstreams">,
  dataCentre: string,
  getUntilMs: (service: string) => number,
): void {
  for (const { record } of [...state.upstreams.values()]) {
    if (record.dataCentre === dataCentre) {
      markUpstreamCold(state, record, getUntilMs(record.service));
    }
  }
}
