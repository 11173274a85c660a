import { HOST_LIMITS } from "../fleet_hosts/mod.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import type { UpstreamReading } from "./create_upstream_reading.ts";
import type { UpstreamView } from "./create_upstream_view.ts";

/**
 * Builds what a host reports of the upstreams. A host that reads for the fleet but cannot report all
 * joined upstreams does not state that it reads.
 */
export function describeUpstreams(
  upstreams: Pick<UpstreamView, "listJoined" | "listLeaving">,
  reading: Pick<UpstreamReading, "computeReportedAge">,
): Pick<HostReport, "upstreamsAgeMs" | "leaving" | "joined"> {
  const leaving = upstreams.listLeaving(HOST_LIMITS.upstreamReportMs);
  const ageMs = reading.computeReportedAge();
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
