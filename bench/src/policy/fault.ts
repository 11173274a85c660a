/**
 * Fault of a run: death and reclaim hit the first engine of every group in the middle of the run;
 * stale delays the load reports of all engines.
 */
export type Fault = "none" | "death" | "reclaim" | "stale";
