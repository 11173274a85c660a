import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";

/** Whether the sender of a report knows so few hosts that it needs the reports of others. */
export function hasFewHosts(
  report: Pick<HostReport, "knownHosts" | "knownInDataCentre">,
  known: { readonly hosts: number; readonly inDataCentre: number },
): boolean {
  return report.knownInDataCentre < known.inDataCentre ||
    report.knownHosts < known.hosts * HOST_LIMITS.knownHostsShare;
}
