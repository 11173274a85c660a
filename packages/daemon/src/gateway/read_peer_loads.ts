import type { LoadState, ObservedPerformance, PeerLoads } from "../balancing/mod.ts";
import { computeLiveTime } from "../fleet_hosts/mod.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Reads another host's loads and observed performance; keeps the latter if the report has none. */
export function readPeerLoads(
  loads: LoadState,
  report: Pick<HostReport, "host" | "intervalMs" | "loads" | "conduct">,
  sentAtMs: number,
): PeerLoads {
  const known: PeerLoads["conduct"] = loads.peers.get(report.host)?.conduct ?? new Map();
  return {
    expiresAtMs: sentAtMs + computeLiveTime(report.intervalMs) * GATEWAY_LIMITS.loadLiveTimeFactor,
    loads: new Map(report.loads.map((
      [id, inFlight, memoryTokens, prefillingTokens],
    ) => [id, { inFlight, memoryTokens, prefillingTokens }])),
    conduct: report.conduct === null ? known : readObservedPerformance(report.conduct),
  };
}

function readObservedPerformance(
  conduct: Exclude<HostReport["conduct"], null>,
): ReadonlyMap<string, ObservedPerformance> {
  return new Map(conduct.map(([id, tokensPerMs, tokenMs, failureShare]) => [id, {
    tokensPerMs: tokensPerMs === 0 ? undefined : tokensPerMs,
    tokenMs: tokenMs === 0 ? undefined : tokenMs,
    failureShare,
  }]));
}
