import { computeLiveTime } from "./compute_live_time.ts";
import type { HostState } from "./host_state.ts";

/** Counts the other hosts that are live, all of them and those of a data centre. */
export function countLiveHosts(
  state: HostState,
  dataCentre: string,
  nowMs: number,
): { hosts: number; inDataCentre: number } {
  let hosts = 0;
  let inDataCentre = 0;
  for (const { lastReportMs, report } of state.hosts.values()) {
    if (nowMs - lastReportMs <= computeLiveTime(report.intervalMs)) {
      hosts++;
      inDataCentre += report.dataCentre === dataCentre ? 1 : 0;
    }
  }
  return { hosts, inDataCentre };
}
