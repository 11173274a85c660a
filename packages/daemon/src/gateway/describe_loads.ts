import { computeOwnLoads } from "../balancing/mod.ts";
import type { LoadState } from "../balancing/mod.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Describes this host's loads and observations for its report. */
export function describeLoads(loads: LoadState): Pick<HostReport, "loads" | "conduct"> {
  return {
    loads: [...computeOwnLoads(loads)].map((
      [id, { flights, memoryTokens, readingTokens }],
    ) => [id, flights, memoryTokens, readingTokens]),
    conduct: [...loads.conduct].slice(-GATEWAY_LIMITS.reportedConduct).map((
      [id, { tokensPerMs, tokenMs, failureShare }],
    ) => [
      id,
      computeRounded(tokensPerMs ?? 0),
      computeRounded(tokenMs ?? 0),
      computeRounded(failureShare),
    ]),
  };
}

/** Keeps two decimals: reports stay small, and finer differences decide nothing. */
function computeRounded(value: number): number {
  return Math.round(value * 100) / 100;
}
