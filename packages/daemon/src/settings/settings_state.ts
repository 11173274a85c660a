import { Buffer } from "node:buffer";
import { compareUpdates } from "./compare_updates.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import { parseSettingsValue } from "./parse_settings_value.ts";
import { createSettingsDigestTree } from "./settings_digest_tree.ts";
import type { SettingsDigestTree } from "./settings_digest_tree.ts";
import type { AcceptedValue, SettingsEntry } from "./settings_entry.ts";
import type { SettingsFinding } from "./settings_finding.ts";
import type { SettingsUpdate } from "./settings_update.ts";

/**
 * Result of one merge. `accepted`: the update is now active. `rejected`: the newest update is
 * invalid, the active one stays. `stale`: nothing changed. `refused`: a size limit is reached.
 */
export type SettingsMergeResult = "accepted" | "rejected" | "stale" | "refused";

/**
 * Settings map. Each path has two registers, the newest update and the newest accepted one. An
 * older update never replaces either of them, so the same updates produce the same map in any order
 * and with any repetition.
 */
export interface SettingsState {
  applyUpdate(update: SettingsUpdate): SettingsMergeResult;
  getEntry(path: string): SettingsEntry | undefined;
  listEntries(): Iterable<SettingsEntry>;
  /** Highest revision of any update, accepted or not. */
  getHighestRevision(): number;
  /** Highest revision of an accepted update. */
  getRevision(): number;
  /** Number of accepted updates under a first path segment; used to invalidate caches. */
  getSectionVersion(section: string): number;
  readonly digest: Pick<SettingsDigestTree, "getHash" | "copyBuckets" | "isDifferent">;
  /** Number of paths, tombstones included. */
  countPaths(): number;
  countTombstones(): number;
  countBytes(): number;
}

const OVERSIZE_ADVICE = `publish at most ${SETTINGS_LIMITS.maxValueBytes} bytes`;

/** Creates an empty settings map. */
export function createSettingsState(): SettingsState {
  const entries = new Map<string, SettingsEntry>();
  const digest = createSettingsDigestTree();
  const versions = new Map<string, number>();
  let highestRevision = 0;
  let revision = 0;
  let bytes = 0;
  let tombstones = 0;

  const setEntry = (path: string, after: SettingsEntry | undefined) => {
    const before = entries.get(path);
    digest.replaceEntry(before, after);
    bytes += countEntryBytes(after) - countEntryBytes(before);
    tombstones += Number(isTombstone(after)) - Number(isTombstone(before));
    if (after === undefined) {
      entries.delete(path);
    } else {
      entries.set(path, after);
    }
  };

  const pruneTombstones = () => {
    while (tombstones > SETTINGS_LIMITS.maxTombstones) {
      const oldest = [...entries.values()].filter(isTombstone).sort(compareEntries)[0];
      if (oldest === undefined) {
        return;
      }
      setEntry(oldest.newest.path, undefined);
    }
  };

  const isWithinLimits = (update: SettingsUpdate) =>
    update.path.length <= SETTINGS_LIMITS.maxPathLength &&
    (entries.has(update.path) || entries.size - tombstones < SETTINGS_LIMITS.maxPaths) &&
    bytes + countUpdateBytes(update) <= SETTINGS_LIMITS.maxTotalBytes;

  const applyUpdate = (given: SettingsUpdate): SettingsMergeResult => {
    const update = normalizeUpdate(given);
    const current = entries.get(update.path);
    const isNewest = current === undefined || compareUpdates(update, current.newest) > 0;
    const isNewerThanAccepted = current?.accepted === undefined ||
      compareUpdates(update, current.accepted.update) > 0;
    if (!isNewest && !isNewerThanAccepted) {
      return "stale";
    }
    if (!isWithinLimits(update)) {
      return "refused";
    }
    const validation = validateUpdate(update);
    const isAccepted = validation.accepted !== undefined;
    if (!isAccepted && !isNewest) {
      return "stale";
    }
    const accepted = validation.accepted ?? current?.accepted;
    setEntry(update.path, {
      newest: isNewest ? update : current.newest,
      findings: isNewest ? validation.findings : current.findings,
      ...(accepted === undefined ? {} : { accepted }),
    });
    highestRevision = Math.max(highestRevision, update.revision);
    if (isAccepted) {
      revision = Math.max(revision, update.revision);
      const section = update.path.split("/", 1)[0] ?? "";
      versions.set(section, (versions.get(section) ?? 0) + 1);
      pruneTombstones();
    }
    return isAccepted ? "accepted" : "rejected";
  };

  return {
    applyUpdate,
    getEntry: (path) => entries.get(path),
    listEntries: () => entries.values(),
    getHighestRevision: () => highestRevision,
    getRevision: () => revision,
    getSectionVersion: (section) => versions.get(section) ?? 0,
    digest,
    countPaths: () => entries.size,
    countTombstones: () => tombstones,
    countBytes: () => bytes,
  };
}

function normalizeUpdate(update: SettingsUpdate): SettingsUpdate {
  const { path, revision, text } = update;
  if (text === undefined || Buffer.byteLength(text) <= SETTINGS_LIMITS.maxValueBytes) {
    return update;
  }
  return { path, revision, oversizeBytes: Buffer.byteLength(text) };
}

function validateUpdate(
  update: SettingsUpdate,
): { accepted?: AcceptedValue; findings: readonly SettingsFinding[] } {
  const { path, text, oversizeBytes } = update;
  if (oversizeBytes !== undefined) {
    const message = `the value has ${oversizeBytes} bytes`;
    return { findings: [{ path, line: 1, name: "", message, advice: OVERSIZE_ADVICE }] };
  }
  if (text === undefined) {
    return { accepted: { update }, findings: [] };
  }
  return parseSettingsValue(path, text).caseOf<ReturnType<typeof validateUpdate>>({
    Left: (findings) => ({ findings: findings.slice(0, SETTINGS_LIMITS.maxFindings) }),
    Right: (value) => ({ accepted: { update, value }, findings: [] }),
  });
}

function isTombstone(entry: SettingsEntry | undefined): boolean {
  return entry !== undefined && entry.accepted?.update === entry.newest &&
    entry.newest.text === undefined;
}

function compareEntries(left: SettingsEntry, right: SettingsEntry): number {
  return left.newest.revision - right.newest.revision ||
    (left.newest.path < right.newest.path ? -1 : 1);
}

function countUpdateBytes(update: SettingsUpdate): number {
  return update.path.length + Buffer.byteLength(update.text ?? "");
}

function countEntryBytes(entry: SettingsEntry | undefined): number {
  if (entry === undefined) {
    return 0;
  }
  const { newest, accepted } = entry;
  const older = accepted === undefined || accepted.update === newest ? undefined : accepted.update;
  return countUpdateBytes(newest) + (older === undefined ? 0 : countUpdateBytes(older));
}
