import { EVACUATION_LIMITS } from "./constants.ts";
import type { EvacuationEvent } from "./evacuation_event.ts";
import type { EvacuationEntry, EvacuationState } from "./evacuation_state.ts";

/** The next state, and the data centres whose evacuation began or ended. */
export interface EvacuationDecision {
  readonly state: EvacuationState;
  readonly changed: readonly { readonly dataCentre: string; readonly isEvacuated: boolean }[];
}

type Listing = Extract<EvacuationEvent, { type: "listed" }>;

/**
 * Decides which data centres are evacuated. Within an era of the store the higher revision counts,
 * and a complete read that began later than an entry was written, and lacks it, withdraws it.
 *
 * After a restore the store may have lost or regained entries of its last seconds. So an evacuation
 * of an earlier era stays until it is removed in the new one, or has been seen there and is missing
 * later; and one that was withdrawn does not come back with an entry that the copy still holds.
 */
export function decideEvacuations(
  state: EvacuationState,
  event: EvacuationEvent,
): EvacuationDecision {
  const next = new Map(state);
  if (event.type === "listed") {
    applyListing(next, event);
  } else if (event.type === "reported") {
    for (const [dataCentre, era, revision, isEvacuated] of event.entries) {
      const { copy } = next.get(dataCentre) ?? {};
      const isCopied = isEvacuated && copy?.era === era && copy.revision === revision;
      if (!isCopied) {
        replaceEarlier(next, dataCentre, { era, revision, isEvacuated });
      }
    }
  } else {
    const { dataCentre, era, revision, type } = event;
    replaceEarlier(next, dataCentre, { era, revision, isEvacuated: type === "written" });
  }
  dropWithdrawn(next);
  const isEvacuated = (entries: EvacuationState, dataCentre: string) =>
    entries.get(dataCentre)?.isEvacuated === true;
  const changed = [...new Set([...state.keys(), ...next.keys()])]
    .filter((dataCentre) => isEvacuated(state, dataCentre) !== isEvacuated(next, dataCentre))
    .map((dataCentre) => ({ dataCentre, isEvacuated: isEvacuated(next, dataCentre) }));
  return { state: next, changed };
}

function replaceEarlier(
  state: Map<string, EvacuationEntry>,
  dataCentre: string,
  entry: EvacuationEntry,
): void {
  const known = state.get(dataCentre);
  if (known === undefined || compareAge(known, entry) < 0) {
    state.set(dataCentre, entry);
  }
}

function applyListing(state: Map<string, EvacuationEntry>, listing: Listing): void {
  const { era, entries } = listing;
  for (const [dataCentre, revision] of entries) {
    const known = state.get(dataCentre);
    if (known === undefined || known.isEvacuated || known.era >= era) {
      replaceEarlier(state, dataCentre, { era, revision, isEvacuated: true });
    } else if (
      known.copy?.era === era ? known.copy.revision !== revision : revision > known.revision
    ) {
      state.set(dataCentre, { era, revision, isEvacuated: true });
    } else {
      state.set(dataCentre, { ...known, copy: { era, revision } });
    }
  }
  for (const [dataCentre, known] of state) {
    if (entries.has(dataCentre)) {
      continue;
    }
    if (known.isEvacuated && known.era === era && known.revision < listing.revision) {
      state.set(dataCentre, { era, revision: listing.revision, isEvacuated: false });
    } else if (!known.isEvacuated && known.era < era && known.copy?.era !== era) {
      state.set(dataCentre, { ...known, copy: { era, revision: undefined } });
    }
  }
}

/** Drops the oldest withdrawn evacuations above the bound; those in force are never dropped. */
function dropWithdrawn(state: Map<string, EvacuationEntry>): void {
  const excess = state.size - EVACUATION_LIMITS.maxEntries;
  if (excess <= 0) {
    return;
  }
  [...state].filter(([, { isEvacuated }]) => !isEvacuated)
    .sort(([, left], [, right]) => compareAge(left, right))
    .slice(0, excess)
    .forEach(([dataCentre]) => state.delete(dataCentre));
}

/** Negative if `left` is older than `right`. */
function compareAge(left: EvacuationEntry, right: EvacuationEntry): number {
  return left.era - right.era || left.revision - right.revision;
}
