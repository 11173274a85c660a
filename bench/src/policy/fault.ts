/** What happens to the first engine of every group in the middle of a run. */
export type Fault = "none" | "death" | "reclaim" | "stale";
