import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";

/** Stores a report; returns false when it is not newer than the stored one or the table is full. */
export function applyHostReport(state: HostState, report: HostReport, nowMs: number): boolean {
  const known = state.hosts.get(report.host);
  const isOld = known !== undefined && known.report.incarnation === report.incarnation &&
    known.report.sequence >= report.sequence;
  if (isOld || (known === undefined && state.hosts.size >= HOST_LIMITS.maxHosts)) {
    return false;
  }
  state.hosts.set(report.host, { report, lastReportMs: nowMs });
  for (const address of [report.peerAddress, ...report.peers]) {
    if (!state.addresses.has(address) && state.addresses.size < HOST_LIMITS.maxHosts) {
      state.addresses.set(address, nowMs);
    }
  }
  return true;
}
