import type { QuarantineState } from "./quarantine_state.ts";

/** Removes all evidence against a request after it completed without a crash. */
export function clearSuspect(state: QuarantineState, fingerprint: string): void {
  state.crashes.forEach((crash) => crash.suspects.delete(fingerprint));
  state.quarantined.delete(fingerprint);
}
