import { MEMORY_PROJECTION } from "./memory_projection.ts";
import type { MemoryShare } from "./memory_projection.ts";
import type { OwnerState } from "./owner_state.ts";
import type { QueueEntry } from "./queue_entry.ts";

/** Projects the memory of one generation that has produced some tokens already. */
export function projectEntry(state: OwnerState, entry: QueueEntry, produced: number): MemoryShare {
  const query = { ...entry, produced };
  const survival = state.predictor.predictSurvival(query, MEMORY_PROJECTION.horizons);
  return { heldTokens: entry.promptTokens + produced, survival };
}
