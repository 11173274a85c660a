import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PromptPartState } from "./prompt_part_state.ts";

/** Adds the parts of a lost upstream to its crash, or records a new crash. */
export function recordPartCrash(
  state: PromptPartState,
  crash: {
    readonly upstream: string;
    readonly atMs: number;
    readonly parts: Iterable<readonly [string, number]>;
  },
  nowMs: number,
  limits: PromptPartLimits,
): void {
  // A lost connection is not always a crash, so the same upstream may be lost again later.
  let known = state.crashes.find(({ upstream, atMs }) =>
    upstream === crash.upstream && Math.abs(atMs - crash.atMs) < limits.simultaneousMs
  );
  if (known === undefined) {
    known = { upstream: crash.upstream, atMs: crash.atMs, parts: new Map() };
    state.crashes.push(known);
  }
  for (const [part, position] of crash.parts) {
    const furthest = Math.max(position, known.parts.get(part) ?? 0);
    if (known.parts.has(part) || known.parts.size < limits.maxPartsOfCrash) {
      known.parts.set(part, furthest);
    }
  }
  state.crashes = state.crashes.filter(({ atMs }) => nowMs - atMs < limits.evidenceMs)
    .sort((left, right) => left.atMs - right.atMs)
    .slice(-limits.maxCrashes);
}
