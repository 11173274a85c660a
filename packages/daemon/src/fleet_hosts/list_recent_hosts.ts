import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";

/** Lists the other hosts that still receive reports and may use the retry budget. */
export function listRecentHosts(state: HostState, nowMs: number): HostReport[] {
  return [...state.hosts.values()]
    .filter(({ lastReportMs }) => nowMs - lastReportMs <= HOST_LIMITS.recentReportMs)
    .map(({ report }) => report);
}
