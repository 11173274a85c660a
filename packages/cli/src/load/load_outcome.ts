import type { LoadKind } from "./load_plan.ts";

/** Outcome of one request of a load run. */
export interface LoadOutcome {
  readonly kind: LoadKind;
  /**
   * `answered`: received a complete response. `refused`: received a problem that says that it was
   * not executed. `unknown`: received another problem. `failed`: received neither.
   */
  readonly result: "answered" | "refused" | "unknown" | "failed";
  readonly durationMs: number;
  /** Time to the first token or byte. */
  readonly firstMs?: number;
  /** Times between tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  /** Token indexes that were skipped in the stream. */
  readonly tokensLost: number;
  readonly tokensDoubled: number;
  readonly tokensOutOfOrder: number;
  /** Events that carried another stream's id. */
  readonly tokensForeign: number;
  readonly resumes: number;
  /** Repeats of an order whose response differed from the first one. */
  readonly ordersDoubled: number;
  /** Number of the result code, if a problem was received. */
  readonly code?: number;
}
