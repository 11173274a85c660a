import type { AttemptOutcome } from "./attempt_outcome.ts";

/** Whether an attempt was certainly not executed: nothing was sent, or the upstream stated so. */
export function hasNotExecuted(outcome: AttemptOutcome): boolean {
  return outcome === "notSent" || outcome === "refused";
}
