import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PromptPartState } from "./prompt_part_state.ts";

/**
 * Selects the parts of crashes whose sound executions the other hosts do not know, with the times.
 * A part is announced again when it was executed soundly after its last crash, or much later than
 * announced; so parts that are in constant use cost a few notices for each crash.
 */
export function selectAnnouncedParts(
  state: Pick<PromptPartState, "crashes" | "soundAtMs" | "announcedAtMs">,
  limits: Pick<PromptPartLimits, "announceStepMs" | "maxPartsOfCrash">,
): (readonly [part: string, soundAtMs: number])[] {
  const lastCrashMs = new Map<string, number>();
  for (const { parts, atMs } of state.crashes) {
    [...parts.keys()].forEach((part) => lastCrashMs.set(part, atMs));
  }
  const selected: (readonly [string, number])[] = [];
  for (const [part, crashMs] of lastCrashMs) {
    const soundMs = state.soundAtMs.get(part);
    const announcedMs = state.announcedAtMs.get(part) ?? -Infinity;
    if (soundMs === undefined || announcedMs >= crashMs) {
      continue;
    }
    if (soundMs > crashMs || soundMs > announcedMs + limits.announceStepMs) {
      selected.push([part, soundMs]);
    }
  }
  return selected.slice(0, limits.maxPartsOfCrash);
}
