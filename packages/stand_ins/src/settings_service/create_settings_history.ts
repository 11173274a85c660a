import type { StoredValue } from "./stored_value.ts";

/** All changes of a fake settings service. */
export interface SettingsHistory {
  getRevision(): number;
  /** Revision up to which changes have been dropped. */
  getCompactedRevision(): number;
  appendChange(path: string, value: string, isDeleted: boolean): StoredValue;
  /** Values as of a revision, by path. */
  listValues(revision: number): StoredValue[];
  listChangesFrom(revision: number): StoredValue[];
  /** Drops the changes up to a revision; values stay. */
  dropChanges(revision: number): void;
  /** Goes back to an earlier revision, as a service restored from a backup does. */
  restoreRevision(revision: number): void;
}

/** Creates an empty history at revision 0. */
export function createSettingsHistory(): SettingsHistory {
  let changes: StoredValue[] = [];
  let revision = 0;
  let compactedRevision = 0;
  return {
    getRevision: () => revision,
    getCompactedRevision: () => compactedRevision,
    appendChange: (path, value, isDeleted) => {
      revision += 1;
      const change = { path, value, revision, isDeleted };
      changes.push(change);
      return change;
    },
    listValues: (wanted) => {
      const values = new Map<string, StoredValue>();
      for (const change of changes.filter((candidate) => candidate.revision <= wanted)) {
        values.set(change.path, change);
      }
      return [...values.values()].filter((value) => !value.isDeleted);
    },
    listChangesFrom: (wanted) => changes.filter((change) => change.revision >= wanted),
    dropChanges: (wanted) => {
      compactedRevision = wanted;
    },
    restoreRevision: (wanted) => {
      changes = changes.filter((change) => change.revision <= wanted);
      revision = wanted;
    },
  };
}
