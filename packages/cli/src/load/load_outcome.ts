import type { LoadKind } from "./load_plan.ts";

/** What one request of a load run came to. */
export interface LoadOutcome {
  readonly kind: LoadKind;
  /**
   * `answered`: whole answer received. `refused`: told that it did not run. `unknown`: told that it
   * may have run. `failed`: no truthful end was received.
   */
  readonly result: "answered" | "refused" | "unknown" | "failed";
  readonly durationMs: number;
  /** Time to the first token or byte. */
  readonly firstMs?: number;
  /** Times between tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  /** Token indexes that never arrived although the answer was presented as complete. */
  readonly tokensLost: number;
  readonly tokensDoubled: number;
  readonly tokensOutOfOrder: number;
  /** Events that carried another stream's id. */
  readonly tokensForeign: number;
  readonly resumes: number;
  /** Repeats of an order whose recorded answer differed. */
  readonly ordersDoubled: number;
  /** Number of the result code of a refusal. */
  readonly code?: number;
}
