import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PromptPartState } from "./prompt_part_state.ts";
import { updateLatest } from "./update_latest.ts";

/** Quarantines a part unless it was executed soundly after the decision. */
export function addQuarantinedPart(
  state: PromptPartState,
  part: string,
  decidedAtMs: number,
  limits: PromptPartLimits,
): void {
  if ((state.soundAtMs.get(part) ?? -Infinity) > decidedAtMs) {
    return;
  }
  const known = state.quarantinedAtMs.get(part) ?? -Infinity;
  updateLatest(
    state.quarantinedAtMs,
    part,
    Math.max(known, decidedAtMs),
    limits.maxQuarantined,
  );
}
