import { EVACUATION_LIMITS } from "./constants.ts";
import type { EvacuationState } from "./evacuation_state.ts";

/** Lists the state as a report contains it, those in force first, then the last withdrawn ones. */
export function listReportedEvacuations(
  state: EvacuationState,
): [string, number, number, boolean][] {
  return [...state]
    .sort(([, left], [, right]) =>
      Number(right.isEvacuated) - Number(left.isEvacuated) || right.era - left.era ||
      right.revision - left.revision
    )
    .slice(0, EVACUATION_LIMITS.maxEntries)
    .map(([dataCentre, { era, revision, isEvacuated }]) => [
      dataCentre,
      era,
      revision,
      isEvacuated,
    ]);
}
