/**
 * Fault of a run. In the middle of the run the first engine of every group crashes (`death`), or
 * drains and then stops (`reclaim`); `stale` delays the load reports of all engines.
 */
export type Fault = "none" | "death" | "reclaim" | "stale";
