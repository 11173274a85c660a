import { computeLiveTime } from "./compute_live_time.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";

/** Lists the other hosts whose last report is not older than their live time. */
export function listLiveHosts(state: HostState, nowMs: number): HostReport[] {
  return [...state.hosts.values()]
    .filter(({ lastReportMs, report }) =>
      nowMs - lastReportMs <= computeLiveTime(report.intervalMs)
    )
    .map(({ report }) => report);
}
