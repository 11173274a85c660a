import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PartCrash } from "./prompt_part_state.ts";

/** Limits of {@link computeSuspicion}. */
export type SuspicionLimits = Pick<
  PromptPartLimits,
  "soundMs" | "simultaneousMs" | "massUpstreams"
>;

/** What the crashes say about one part of a prompt. */
export interface Suspicion {
  readonly part: string;
  /** Crashes since the last sound execution of the part; simultaneous ones count as one. */
  readonly crashes: number;
  /** Whether the part was executed soundly shortly before the first of them. */
  readonly wasSound: boolean;
  /** Its last position in the prompt of a request that lost its upstream. */
  readonly position: number;
}

/** Counts the crashes of a part since its last sound execution. */
export function computeSuspicion(
  part: string,
  crashes: readonly PartCrash[],
  lastSoundAtMs: number | undefined,
  { soundMs, simultaneousMs, massUpstreams }: SuspicionLimits,
): Suspicion {
  const lastSoundMs = lastSoundAtMs ?? -Infinity;
  const upstreams = new Set<string>();
  let count = 0;
  let firstMs = Infinity;
  let lastMs = -Infinity;
  let position = 0;
  for (const crash of crashes) {
    const crashPosition = crash.parts.get(part);
    if (crashPosition === undefined || crash.atMs <= lastSoundMs) {
      continue;
    }
    const near = crashes.filter(({ atMs }) => Math.abs(atMs - crash.atMs) < simultaneousMs);
    if (near.length >= massUpstreams) {
      continue;
    }
    position = Math.max(position, crashPosition);
    if (crash.atMs - lastMs < simultaneousMs || upstreams.has(crash.upstream)) {
      continue;
    }
    upstreams.add(crash.upstream);
    count++;
    firstMs = Math.min(firstMs, crash.atMs);
    lastMs = crash.atMs;
  }
  return { part, crashes: count, wasSound: firstMs - lastSoundMs <= soundMs, position };
}
