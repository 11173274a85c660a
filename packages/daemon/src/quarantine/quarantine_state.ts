/** A request that was running on an upstream when it crashed. */
export interface CrashSuspect {
  /** Digest of team, model and prompt. */
  readonly fingerprint: string;
  /** Tokens that it had produced. */
  readonly tokens: number;
}

/** One crash of one upstream, merged from the reports of all daemons. */
export interface Crash {
  readonly upstream: string;
  /** Monotonic time of its first report. */
  readonly firstMs: number;
  /** Tokens produced, by fingerprint. */
  readonly suspects: Map<string, number>;
}

/** Crashes and quarantined requests; times are monotonic milliseconds of this daemon. */
export interface QuarantineState {
  /** Ordered by time, oldest first. */
  crashes: Crash[];
  /** Monotonic time of expiry, by fingerprint. */
  readonly quarantined: Map<string, number>;
}

/** Limits that bound the state. */
export interface QuarantineLimits {
  readonly crashWindowMs: number;
  readonly maxCrashes: number;
  readonly maxSuspects: number;
  readonly evidenceMs: number;
  readonly maxQuarantined: number;
}

/** Adds a report to its crash, or creates one; expired and surplus crashes are evicted. */
export function recordCrash(
  state: QuarantineState,
  report: { readonly upstream: string; readonly suspects: readonly CrashSuspect[] },
  nowMs: number,
  limits: QuarantineLimits,
): void {
  let crash = state.crashes.find((known) =>
    known.upstream === report.upstream && nowMs - known.firstMs < limits.crashWindowMs
  );
  if (crash === undefined) {
    crash = { upstream: report.upstream, firstMs: nowMs, suspects: new Map() };
    state.crashes.push(crash);
  }
  for (const { fingerprint, tokens } of report.suspects) {
    const fewest = Math.min(tokens, crash.suspects.get(fingerprint) ?? tokens);
    if (crash.suspects.has(fingerprint) || crash.suspects.size < limits.maxSuspects) {
      crash.suspects.set(fingerprint, fewest);
    }
  }
  state.crashes = state.crashes
    .filter((known) => nowMs - known.firstMs < limits.evidenceMs)
    .slice(-limits.maxCrashes);
}
