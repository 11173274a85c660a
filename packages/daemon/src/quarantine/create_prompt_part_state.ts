import type { PromptPartState } from "./prompt_part_state.ts";

/** Creates a state without evidence. */
export function createPromptPartState(): PromptPartState {
  return {
    crashes: [],
    soundAtMs: new Map(),
    announcedAtMs: new Map(),
    quarantinedAtMs: new Map(),
  };
}
