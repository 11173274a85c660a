import type { UpstreamRecord } from "./upstream_record.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Whether the data centre of an upstream is evacuated: nothing new may be sent to it. */
export function isEvacuated(
  state: Pick<UpstreamState, "evacuated">,
  { dataCentre }: Pick<UpstreamRecord, "dataCentre">,
): boolean {
  return state.evacuated.has(dataCentre);
}
