import type { AttemptOutcome } from "./attempt_outcome.ts";

/** Whether an attempt surely has not run: nothing was sent, or the upstream said so. */
export function hasNotRun(outcome: AttemptOutcome): boolean {
  return outcome === "notSent" || outcome === "refused";
}
