import { HOST_LIMITS } from "./constants.ts";
import type { HostReport } from "./host_report_schema.ts";

/**
 * Merges a report into an earlier one that has not been forwarded yet: the later state, with the
 * observed performance and the notices that only the earlier one contains.
 */
export function mergeReports(earlier: HostReport, later: HostReport): HostReport {
  if (earlier.incarnation !== later.incarnation) {
    return later;
  }
  const keys = new Set(later.notices.map(([topic, key]) => `${topic}/${key}`));
  const missing = earlier.notices.filter(([topic, key]) => !keys.has(`${topic}/${key}`));
  return {
    ...later,
    conduct: later.conduct ?? earlier.conduct,
    notices: [...missing, ...later.notices].slice(0, HOST_LIMITS.maxReportNotices),
  };
}
