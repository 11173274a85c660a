import type { QuarantineState } from "./quarantine_state.ts";

/** Clears a request of all evidence, because it has run well since. */
export function clearSuspect(state: QuarantineState, fingerprint: string): void {
  state.crashes.forEach((crash) => crash.suspects.delete(fingerprint));
  state.quarantined.delete(fingerprint);
}
