import { BALANCING_LIMITS } from "../balancing/mod.ts";
import type { UpstreamCandidate } from "../balancing/mod.ts";

/** Engines of a service as they are for one request, and their limits. */
export interface EngineRoom {
  readonly candidates: readonly UpstreamCandidate[];
  readonly limits: { readonly slots: number; readonly memoryTokens: number };
}

/** The room that is left beside a request, and the engine that was chosen for it. */
export interface ReservedRoom {
  readonly room: EngineRoom;
  readonly upstreamId: string | undefined;
  /** Whether the engine has enough room for the request now. */
  readonly doesFit: boolean;
}

/**
 * Reserves the room of a request that precedes others: at the engine with the most free memory,
 * which is the one closest to enough where none has enough. Others may start there only beside it.
 */
export function reserveRoom(room: EngineRoom, memoryTokens: number): ReservedRoom {
  const maxTokens = room.limits.memoryTokens * BALANCING_LIMITS.plannedMemoryShare;
  const isPossible = memoryTokens > 0 && memoryTokens <= maxTokens;
  let best: UpstreamCandidate | undefined;
  for (const candidate of isPossible ? room.candidates : []) {
    const isBetter = best === undefined ||
      Number(hasSlot(room, candidate)) > Number(hasSlot(room, best)) ||
      (hasSlot(room, candidate) === hasSlot(room, best) &&
        candidate.load.memoryTokens < best.load.memoryTokens);
    best = isBetter ? candidate : best;
  }
  if (best === undefined) {
    return { room, upstreamId: undefined, doesFit: false };
  }
  const doesFit = hasSlot(room, best) && best.load.memoryTokens + memoryTokens <= maxTokens;
  const { inFlight, memoryTokens: used } = best.load;
  const reserved = {
    ...best,
    load: { ...best.load, inFlight: inFlight + 1, memoryTokens: used + memoryTokens },
  };
  const candidates = room.candidates.map((candidate) => candidate === best ? reserved : candidate);
  return { room: { ...room, candidates }, upstreamId: best.upstream.record.id, doesFit };
}

function hasSlot({ limits }: EngineRoom, { load, upstream }: UpstreamCandidate): boolean {
  return load.inFlight < Math.min(limits.slots, upstream.record.slots);
}
