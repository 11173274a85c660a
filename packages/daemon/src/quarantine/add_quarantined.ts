import type { QuarantineLimits, QuarantineState } from "./quarantine_state.ts";

/** Quarantines a request until a time; at the bound the one that expires first is dropped. */
export function addQuarantined(
  state: QuarantineState,
  fingerprint: string,
  untilMs: number,
  limits: QuarantineLimits,
): void {
  state.quarantined.set(fingerprint, untilMs);
  if (state.quarantined.size <= limits.maxQuarantined) {
    return;
  }
  const [first] = [...state.quarantined].sort(([, left], [, right]) => left - right);
  if (first !== undefined) {
    state.quarantined.delete(first[0]);
  }
}
