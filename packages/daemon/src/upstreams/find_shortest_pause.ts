import { getPauseMs } from "./get_pause_ms.ts";
import { isEvacuated } from "./is_evacuated.ts";
import type { UpstreamState } from "./upstream_state.ts";

/**
 * Finds the time in milliseconds after which the first upstream of a service accepts requests again;
 * undefined unless all of them pause, but for the excluded ones and those of evacuated data centres.
 */
export function findShortestPause(
  state: Pick<UpstreamState, "pauses" | "upstreams" | "evacuated">,
  service: string,
  nowMs: number,
  excluded: ReadonlySet<string> = new Set(),
): number | undefined {
  const pauses = [...state.upstreams.values()]
    .filter(({ record, status }) =>
      record.service === service && !excluded.has(record.id) &&
      (status === "ready" || status === "lapsed") && !isEvacuated(state, record)
    )
    .map(({ record }) => getPauseMs(state, record, nowMs));
  const shortestMs = Math.min(...pauses);
  return pauses.length === 0 || shortestMs === 0 ? undefined : shortestMs;
}
