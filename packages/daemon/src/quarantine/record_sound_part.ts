import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PromptPartState } from "./prompt_part_state.ts";
import { updateLatest } from "./update_latest.ts";

/** Records a sound execution of a part; it ends the part's quarantine if it came after it. */
export function recordSoundPart(
  state: PromptPartState,
  part: string,
  atMs: number,
  limits: PromptPartLimits,
): void {
  updateLatest(state.soundAtMs, part, atMs, limits.maxSoundParts);
  if ((state.quarantinedAtMs.get(part) ?? Infinity) < atMs) {
    state.quarantinedAtMs.delete(part);
  }
}
