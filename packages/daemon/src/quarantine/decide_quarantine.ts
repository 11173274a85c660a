import type { Crash } from "./quarantine_state.ts";

/** Thresholds of {@link decideQuarantine}. */
export interface QuarantineThresholds {
  readonly earlyTokens: number;
  readonly minCrashes: number;
  readonly minScore: number;
  readonly massWindowMs: number;
  readonly massUpstreams: number;
}

/** Reason for a quarantine. */
export type QuarantineReason = "onlyCommonFactor" | "firstSteps";

/** Decision on one request. */
export type QuarantineDecision =
  | { readonly type: "clear" }
  | { readonly type: "quarantine"; readonly reason: QuarantineReason };

/**
 * Decides on one request from the crashes during which it was running.
 *
 * It is quarantined if it is the only request that two crashes of different upstreams have in
 * common, or if it was in its first steps at each crash and its score reaches the minimum. Each
 * crash adds 1 to the score, divided by the number of requests that were in their first steps, so
 * requests that only ran at the same time score low. Crashes of many upstreams at the same time
 * have another cause, such as a lost data centre, and are ignored.
 */
export function decideQuarantine(
  fingerprint: string,
  crashes: readonly Crash[],
  thresholds: QuarantineThresholds,
): QuarantineDecision {
  const relevantCrashes = crashes.filter((crash) =>
    crash.suspects.has(fingerprint) && !isMassFailure(crash, crashes, thresholds)
  );
  const upstreams = new Set(relevantCrashes.map((crash) => crash.upstream));
  if (upstreams.size < thresholds.minCrashes) {
    return { type: "clear" };
  }
  if (isOnlyCommonFactor(relevantCrashes)) {
    return { type: "quarantine", reason: "onlyCommonFactor" };
  }
  const scores = relevantCrashes.map((crash) =>
    computeScore(fingerprint, crash, thresholds.earlyTokens)
  );
  const score = scores.reduce((sum, share) => sum + share, 0);
  const isAlwaysEarly = scores.every((share) => share > 0);
  return isAlwaysEarly && score >= thresholds.minScore
    ? { type: "quarantine", reason: "firstSteps" }
    : { type: "clear" };
}

function isMassFailure(
  crash: Crash,
  crashes: readonly Crash[],
  thresholds: QuarantineThresholds,
): boolean {
  const near = crashes.filter((other) =>
    Math.abs(other.firstMs - crash.firstMs) <= thresholds.massWindowMs
  );
  return new Set(near.map((other) => other.upstream)).size >= thresholds.massUpstreams;
}

function isOnlyCommonFactor(crashes: readonly Crash[]): boolean {
  return crashes.some((left, index) =>
    crashes.slice(index + 1).some((right) =>
      left.upstream !== right.upstream && countCommon(left, right) === 1
    )
  );
}

function countCommon(left: Crash, right: Crash): number {
  return [...left.suspects.keys()].filter((fingerprint) => right.suspects.has(fingerprint)).length;
}

function computeScore(fingerprint: string, crash: Crash, earlyTokens: number): number {
  const isEarly = (tokens: number) => tokens <= earlyTokens;
  const producedTokens = crash.suspects.get(fingerprint);
  if (producedTokens === undefined || !isEarly(producedTokens)) {
    return 0;
  }
  return 1 / [...crash.suspects.values()].filter(isEarly).length;
}
