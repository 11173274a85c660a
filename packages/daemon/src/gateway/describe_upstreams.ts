import { HOST_LIMITS } from "../fleet_hosts/mod.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import type { UpstreamReading } from "./create_upstream_reading.ts";
import type { UpstreamView } from "./create_upstream_view.ts";

/**
 * Builds what a host reports of the upstreams. Only a host that reads for the fleet knows whether a
 * missing record is back, so only its report contains those that drain because their record is
 * missing. If it cannot report all joined upstreams, it does not state that it reads.
 */
export function describeUpstreams(
  upstreams: Pick<UpstreamView, "listJoined" | "listLeaving">,
  reading: Pick<UpstreamReading, "computeReportedAge">,
): Pick<HostReport, "upstreamsAgeMs" | "leaving" | "joined"> {
  const ageMs = reading.computeReportedAge();
  const leaving = upstreams.listLeaving(HOST_LIMITS.upstreamReportMs)
    .filter(([, , isAbsent]) => ageMs !== null || !isAbsent);
  const joined = ageMs === null ? [] : upstreams.listJoined(HOST_LIMITS.upstreamReportMs);
  if (joined.length > GATEWAY_LIMITS.maxJoinedUpstreams) {
    return { leaving, upstreamsAgeMs: null, joined: [] };
  }
  return {
    leaving,
    upstreamsAgeMs: ageMs,
    joined: joined.map(({ id, service, address, dataCentre, slots, slowForMs, startedAt }) => [
      id,
      service,
      address,
      dataCentre,
      slots,
      slowForMs,
      startedAt,
    ]),
  };
}
