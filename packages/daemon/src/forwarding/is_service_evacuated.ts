import { isEvacuated } from "../upstreams/mod.ts";
import type { UpstreamState } from "../upstreams/mod.ts";

/** Whether a service has upstreams, all of them in evacuated data centres. */
export function isServiceEvacuated(
  state: Pick<UpstreamState, "upstreams" | "evacuated">,
  service: string,
): boolean {
  if (state.evacuated.size === 0) {
    return false;
  }
  const ofService = [...state.upstreams.values()].filter(({ record, status }) =>
    record.service === service && (status === "ready" || status === "lapsed")
  );
  return ofService.length > 0 && ofService.every(({ record }) => isEvacuated(state, record));
}
