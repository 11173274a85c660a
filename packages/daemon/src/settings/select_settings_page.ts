import { Buffer } from "node:buffer";
import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsEntry } from "./settings_entry.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsUpdate } from "./settings_update.ts";

/** Request of a peer for the updates that it lacks. */
export interface PullRequest {
  /** Highest revision that the peer has. */
  readonly known: number;
  /** Hashes of the peer's buckets of paths; absent if it requests only revisions above `known`. */
  readonly buckets?: Uint8Array | undefined;
  /** Last path of the previous page, if the buckets that differ fill several pages. */
  readonly after?: string | undefined;
}

/** One page of updates. */
export interface SelectedPage {
  readonly updates: SettingsUpdate[];
  /** Last path of this page, if it was truncated while listing buckets that differ. */
  readonly next?: string;
}

/**
 * Selects one page of updates for a peer: those above its highest revision, in order of revision;
 * if there are none, those of all paths in the buckets that differ. A page that is truncated at the
 * size limit still has at least one path.
 */
export function selectSettingsPage(state: SettingsState, request: PullRequest): SelectedPage {
  const newerEntries = [...state.listEntries()]
    .filter((entry) => entry.newest.revision > request.known)
    .sort((left, right) => left.newest.revision - right.newest.revision);
  const hasNewerRevisions = newerEntries.length > 0;
  const selected = hasNewerRevisions ? newerEntries : listEntriesInDifferentBuckets(state, request);
  const updates: SettingsUpdate[] = [];
  let bytes = 0;
  let last: string | undefined;
  for (const entry of selected) {
    const added = listUpdates(entry);
    bytes += added.reduce((sum, update) => sum + countBytes(update), 0);
    const isFull = bytes > SETTINGS_LIMITS.maxPageBytes ||
      updates.length + added.length > SETTINGS_LIMITS.maxPageUpdates;
    if (isFull && last !== undefined) {
      return hasNewerRevisions ? { updates } : { updates, next: last };
    }
    updates.push(...added);
    last = entry.newest.path;
  }
  return { updates };
}

function listEntriesInDifferentBuckets(
  state: SettingsState,
  request: PullRequest,
): SettingsEntry[] {
  const { after, buckets } = request;
  if (buckets === undefined) {
    return [];
  }
  return [...state.listEntries()]
    .filter(({ newest }) => state.digest.isDifferent(newest.path, buckets))
    .filter(({ newest }) => after === undefined || newest.path > after)
    .sort((left, right) => left.newest.path < right.newest.path ? -1 : 1);
}

function listUpdates(entry: SettingsEntry): SettingsUpdate[] {
  const { newest, accepted } = entry;
  return accepted === undefined || accepted.update === newest
    ? [newest]
    : [accepted.update, newest];
}

function countBytes(update: SettingsUpdate): number {
  return update.path.length + Buffer.byteLength(update.text ?? "");
}
