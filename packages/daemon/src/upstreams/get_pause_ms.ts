import type { UpstreamRecord } from "./upstream_record.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Returns the time for which an upstream still wants no request from this host; 0 for none. */
export function getPauseMs(
  state: Pick<UpstreamState, "pauses">,
  { id, startedAt }: Pick<UpstreamRecord, "id" | "startedAt">,
  nowMs: number,
): number {
  const pause = state.pauses.get(id);
  return pause?.startedAt === startedAt ? Math.max(0, pause.untilMs - nowMs) : 0;
}
