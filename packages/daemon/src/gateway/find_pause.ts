/** Readings of both clocks at the same time, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** A period in which the process did not run, or a step of the wall clock. */
export interface ProcessPause {
  readonly gapMs: number;
  /** `monotonic`: it was not scheduled; `wall`: its machine was suspended or its clock was set. */
  readonly clock: "monotonic" | "wall";
}

/**
 * Finds a pause between two readings. The monotonic clock stops while a machine is suspended, so
 * only the wall clock shows that pause. As the wall clock may also be set, the only valid reaction
 * to a pause is to read the published state again.
 */
export function findPause(
  before: ClockReading,
  now: ClockReading,
  pauseThresholdMs: number,
): ProcessPause | undefined {
  const monotonicMs = now.monotonicMs - before.monotonicMs;
  if (monotonicMs > pauseThresholdMs) {
    return { gapMs: monotonicMs, clock: "monotonic" };
  }
  const driftMs = now.wallMs - before.wallMs - monotonicMs;
  return Math.abs(driftMs) > pauseThresholdMs ? { gapMs: driftMs, clock: "wall" } : undefined;
}
