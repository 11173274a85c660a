import type { HostReport } from "./host_report_schema.ts";

/** Counts the reports of hosts in a data centre. */
export function countInDataCentre(
  reports: readonly Pick<HostReport, "dataCentre">[],
  dataCentre: string,
): number {
  return reports.filter((report) => report.dataCentre === dataCentre).length;
}
