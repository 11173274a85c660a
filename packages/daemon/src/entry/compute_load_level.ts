/** Shares of one core from which each level of load begins; level 0 lies below the first. */
const LEVEL_STARTS = [0.6, 0.75, 0.85, 0.95];
/** A level is left only this far below its start, so that it does not flap. */
const HYSTERESIS = 0.05;

/** Computes the level of load of a daemon from the share of its core that it used. */
export function computeLoadLevel(cpuShare: number, current: number): number {
  const rising = LEVEL_STARTS.filter((start) => cpuShare >= start).length;
  if (rising >= current) {
    return rising;
  }
  return LEVEL_STARTS.filter((start) => cpuShare >= start - HYSTERESIS).length;
}
