import { computeSuspicion } from "./compute_suspicion.ts";
import type { Suspicion, SuspicionLimits } from "./compute_suspicion.ts";
import type { PromptPartLimits } from "./prompt_part_defaults.ts";
import type { PartCrash, PromptPartState } from "./prompt_part_state.ts";

/** Thresholds of {@link decideQuarantinedParts}. */
export type PartThresholds =
  & SuspicionLimits
  & Pick<
    PromptPartLimits,
    "minCrashes" | "minCrashesOfSoundPart"
  >;

/**
 * Decides which prompt parts crash the upstreams that begin to write an answer on them.
 *
 * A part is quarantined after enough crashes of different upstreams, each with a request in its
 * first steps that has the part, and no sound execution of the part since the first of them. Parts
 * that sound requests use as well are executed soundly all the time. Of several parts that could
 * explain the same crashes, the most likely one does: one without a recent sound execution, then
 * the one with the most crashes, then the most specific one, which is last in the prompt. Crashes
 * that it explains do not count against the others. While a report may be missing, a more specific
 * part with one crash less postpones the decision to the next crash.
 */
export function decideQuarantinedParts(
  state: Pick<PromptPartState, "crashes" | "soundAtMs">,
  thresholds: PartThresholds,
): string[] {
  const found: string[] = [];
  let unexplained = state.crashes;
  for (;;) {
    const suspicions = listSuspicions(unexplained, state.soundAtMs, thresholds);
    const [likeliest] = suspicions
      .filter(({ crashes, wasSound }) =>
        crashes >= (wasSound ? thresholds.minCrashesOfSoundPart : thresholds.minCrashes)
      )
      .sort(compareSuspicions);
    if (likeliest === undefined || isAmbiguous(likeliest, suspicions, thresholds)) {
      return found;
    }
    found.push(likeliest.part);
    unexplained = unexplained.filter(({ parts }) => !parts.has(likeliest.part));
  }
}

/** Whether a more specific part may explain the same crashes, one of which is not known whole. */
function isAmbiguous(
  likeliest: Suspicion,
  suspicions: readonly Suspicion[],
  { minCrashes }: PartThresholds,
): boolean {
  return likeliest.crashes === minCrashes &&
    suspicions.some((other) =>
      !other.wasSound && other.position > likeliest.position && other.crashes === minCrashes - 1
    );
}

function compareSuspicions(left: Suspicion, right: Suspicion): number {
  return Number(left.wasSound) - Number(right.wasSound) || right.crashes - left.crashes ||
    right.position - left.position;
}

function listSuspicions(
  crashes: readonly PartCrash[],
  soundAtMs: ReadonlyMap<string, number>,
  thresholds: PartThresholds,
): Suspicion[] {
  const parts = new Set(crashes.flatMap((crash) => [...crash.parts.keys()]));
  return [...parts].map((part) => computeSuspicion(part, crashes, soundAtMs.get(part), thresholds));
}
