import type { HostReport } from "./host_report_schema.ts";

/** Another host: its last report and the monotonic time at which it was sent. */
export interface KnownHost {
  readonly report: HostReport;
  readonly lastReportMs: number;
  /** A relay has dropped fields of the report, as in an `AgedReport`. */
  readonly isPartial?: boolean;
}

/** Other hosts by name, and addresses where hosts may be reachable; at most `maxHosts` of each. */
export interface HostState {
  readonly hosts: Map<string, KnownHost>;
  /** Peer addresses, with the monotonic time at which each first appeared in a report. */
  readonly addresses: Map<string, number>;
}
