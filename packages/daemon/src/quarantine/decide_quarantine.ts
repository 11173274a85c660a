import type { Crash } from "./quarantine_state.ts";

/** Thresholds of {@link decideQuarantine}. */
export interface QuarantineThresholds {
  readonly earlyTokens: number;
  readonly minCrashes: number;
  readonly minBlame: number;
  readonly massWindowMs: number;
  readonly massUpstreams: number;
}

/** Why a request is quarantined. */
export type QuarantineReason = "onlyCommonFactor" | "firstSteps";

/** Verdict on one request. */
export type QuarantineVerdict =
  | { readonly type: "clear" }
  | { readonly type: "quarantine"; readonly reason: QuarantineReason };

/**
 * Judges one request by the crashes it took part in.
 *
 * It is guilty when it is the only request that two crashes of different upstreams have in common,
 * or when it died in its first steps each time and bears enough blame. The requests that died in
 * their first steps in one crash share its blame equally, so neighbours weigh little. Crashes of
 * many upstreams at once have a cause of their own, such as a lost data centre, and count for
 * nothing.
 */
export function decideQuarantine(
  fingerprint: string,
  crashes: readonly Crash[],
  thresholds: QuarantineThresholds,
): QuarantineVerdict {
  const joined = crashes.filter((crash) =>
    crash.suspects.has(fingerprint) && !isMassFailure(crash, crashes, thresholds)
  );
  const upstreams = new Set(joined.map((crash) => crash.upstream));
  if (upstreams.size < thresholds.minCrashes) {
    return { type: "clear" };
  }
  if (isOnlyCommonFactor(joined)) {
    return { type: "quarantine", reason: "onlyCommonFactor" };
  }
  const blames = joined.map((crash) => computeBlame(fingerprint, crash, thresholds.earlyTokens));
  const blame = blames.reduce((sum, share) => sum + share, 0);
  const isAlwaysEarly = blames.every((share) => share > 0);
  return isAlwaysEarly && blame >= thresholds.minBlame
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

function computeBlame(fingerprint: string, crash: Crash, earlyTokens: number): number {
  const isEarly = (tokens: number) => tokens <= earlyTokens;
  const own = crash.suspects.get(fingerprint);
  if (own === undefined || !isEarly(own)) {
    return 0;
  }
  return 1 / [...crash.suspects.values()].filter(isEarly).length;
}
