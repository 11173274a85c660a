import { computeLocalLoads } from "../balancing/mod.ts";
import type { LoadState } from "../balancing/mod.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/**
 * Builds this host's loads and the observed performance of upstreams for its report. The more hosts
 * report, the fewer upstreams each has to describe, the last observed ones.
 */
export function describeLoads(
  loads: LoadState,
  hosts: number,
): Pick<HostReport, "loads" | "conduct"> {
  const { maxReportedUpstreams, minReportedUpstreams, reportedUpstreamsOfFleet } = GATEWAY_LIMITS;
  const count = Math.min(
    maxReportedUpstreams,
    Math.max(minReportedUpstreams, Math.round(reportedUpstreamsOfFleet / hosts)),
  );
  return {
    loads: [...computeLocalLoads(loads)].map((
      [id, { inFlight, memoryTokens, prefillingTokens }],
    ) => [id, inFlight, memoryTokens, prefillingTokens]),
    conduct: [...loads.conduct].slice(-count).map((
      [id, { tokensPerMs, tokenMs, failureShare }],
    ) => [
      id,
      computeRounded(tokensPerMs ?? 0),
      computeRounded(tokenMs ?? 0),
      computeRounded(failureShare),
    ]),
  };
}

/** Rounds to two decimals: this keeps reports small, and finer differences change no decision. */
function computeRounded(value: number): number {
  return Math.round(value * 100) / 100;
}
