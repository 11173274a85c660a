import type { QuarantineLimits, QuarantineState } from "./quarantine_state.ts";

/** Quarantines a request until `untilMs`; at the limit, the entry that expires first is evicted. */
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
