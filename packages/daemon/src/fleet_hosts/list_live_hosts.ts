import { computeLiveTime } from "./compute_live_time.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";

/** Lists the other hosts that were heard within the live time. */
export function listLiveHosts(state: HostState, nowMs: number): HostReport[] {
  return [...state.hosts.values()]
    .filter(({ heardMs, report }) => nowMs - heardMs <= computeLiveTime(report.intervalMs))
    .map(({ report }) => report);
}
