import type { EncodedReport } from "./encode_host_datagram.ts";

/** Splits reports into groups of at most `maxBytes`; a larger report stands alone. */
export function splitReports(
  reports: readonly EncodedReport[],
  maxBytes: number,
): EncodedReport[][] {
  const groups: EncodedReport[][] = [];
  let group: EncodedReport[] = [];
  let groupBytes = 0;
  for (const report of reports) {
    if (group.length > 0 && groupBytes + report.bytes.length > maxBytes) {
      groups.push(group);
      group = [];
      groupBytes = 0;
    }
    group.push(report);
    groupBytes += report.bytes.length;
  }
  return group.length === 0 ? groups : [...groups, group];
}
