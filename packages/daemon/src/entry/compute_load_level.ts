/** CPU use, as a share of one core, at which each load level starts; level 0 is below the first. */
const LEVEL_STARTS = [0.6, 0.75, 0.85, 0.95];
/** The level drops only when the CPU use is this far below the level's start, to avoid flapping. */
const HYSTERESIS = 0.05;

/** Computes the load level of a daemon from the share of its core that it used. */
export function computeLoadLevel(cpuShare: number, current: number): number {
  const reached = LEVEL_STARTS.filter((start) => cpuShare >= start).length;
  if (reached >= current) {
    return reached;
  }
  return LEVEL_STARTS.filter((start) => cpuShare >= start - HYSTERESIS).length;
}
