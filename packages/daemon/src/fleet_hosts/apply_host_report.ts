import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { HostState } from "./host_state.ts";

/**
 * Stores a report that its host sent at `sentAtMs`; returns false when it is not newer than the
 * stored one or the table is full. Reports of different incarnations are ordered by that time, as
 * those of an ended process may still be on their way over a relay. A whole report replaces the same
 * one of which a relay has dropped fields.
 */
export function applyHostReport(
  state: HostState,
  report: HostReport,
  sentAtMs: number,
  isPartial = false,
): boolean {
  const known = state.hosts.get(report.host);
  const isOld = known !== undefined &&
    (known.report.incarnation === report.incarnation
      ? known.report.sequence > report.sequence ||
        (known.report.sequence === report.sequence && (isPartial || known.isPartial !== true))
      : known.lastReportMs >= sentAtMs);
  if (isOld || (known === undefined && state.hosts.size >= HOST_LIMITS.maxHosts)) {
    return false;
  }
  state.hosts.set(report.host, { report, lastReportMs: sentAtMs, isPartial });
  addAddress(state, report.peerAddress, sentAtMs);
  report.peers.forEach((address) => addAddress(state, address, sentAtMs));
  return true;
}

function addAddress({ addresses }: HostState, address: string, seenAtMs: number): void {
  if (!addresses.has(address) && addresses.size < HOST_LIMITS.maxHosts) {
    addresses.set(address, seenAtMs);
  }
}
