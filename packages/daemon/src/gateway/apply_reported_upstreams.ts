import type { AgedReport } from "../fleet_hosts/mod.ts";
import type { UpstreamReading } from "./create_upstream_reading.ts";
import type { UpstreamView } from "./create_upstream_view.ts";

/** Applies what another host reports of the upstreams. */
export function applyReportedUpstreams(
  upstreams: Pick<UpstreamView, "state" | "markLeaving" | "applyJoined">,
  reading: Pick<UpstreamReading, "acceptReport">,
  received: AgedReport,
  nowMs: number,
): void {
  const { report, ageMs } = received;
  const readAtMs = nowMs - ageMs - (report.upstreamsAgeMs ?? 0);
  for (const [id, startedAt, isAbsent] of report.leaving) {
    // While the settings service is down, another host's report that a record is absent may be
    // outdated, so it is ignored.
    if (!isAbsent || !upstreams.state.isSettingsServiceDown) {
      upstreams.markLeaving(id, startedAt, isAbsent, report.host);
    }
  }
  for (const [id, service, address, dataCentre, slots, slowForMs, startedAt] of report.joined) {
    upstreams.applyJoined({
      id,
      service,
      address,
      dataCentre,
      slots,
      slowForMs,
      startedAt,
      sequence: 0,
      isLeaving: false,
    }, readAtMs);
  }
  reading.acceptReport(received);
}
