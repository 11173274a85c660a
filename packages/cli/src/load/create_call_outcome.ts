import type { LoadOutcome } from "./load_outcome.ts";

/** Parts of an outcome that a call without tokens has. */
export type CallOutcome =
  & Pick<LoadOutcome, "kind" | "result" | "durationMs">
  & Partial<Pick<LoadOutcome, "ordersDoubled" | "code">>;

/** Creates the outcome of a call that streams no tokens. */
export function createCallOutcome(call: CallOutcome): LoadOutcome {
  return {
    gapsMs: [],
    tokens: 0,
    tokensLost: 0,
    tokensDoubled: 0,
    tokensOutOfOrder: 0,
    tokensForeign: 0,
    resumes: 0,
    ordersDoubled: 0,
    ...call,
  };
}
