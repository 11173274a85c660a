/** Both clocks of a process at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** A time in which the process did not run, or a step of its time of day. */
export interface ProcessPause {
  readonly gapMs: number;
  /** `monotonic`: it was not scheduled; `wall`: its machine was suspended, or its time was set. */
  readonly clock: "monotonic" | "wall";
}

/**
 * Finds a pause between two readings. The monotonic clock of a suspended machine stands still, so the
 * time of day shows that one; as it may also be set, a pause may only cause reading anew.
 */
export function findPause(
  before: ClockReading,
  now: ClockReading,
  pauseMs: number,
): ProcessPause | undefined {
  const monotonicMs = now.monotonicMs - before.monotonicMs;
  if (monotonicMs > pauseMs) {
    return { gapMs: monotonicMs, clock: "monotonic" };
  }
  const driftMs = now.wallMs - before.wallMs - monotonicMs;
  return Math.abs(driftMs) > pauseMs ? { gapMs: driftMs, clock: "wall" } : undefined;
}
