import type { StoredValue } from "./stored_value.ts";

/** Change history of a fake settings service. */
export interface SettingsHistory {
  getRevision(): number;
  /** Revision up to which changes have been dropped. */
  getCompactedRevision(): number;
  appendChange(path: string, value: string, isDeleted: boolean): StoredValue;
  /** Lists the values as of a revision, one for each path. */
  listValues(revision: number): StoredValue[];
  listChangesFrom(revision: number): StoredValue[];
  /** Marks the changes up to a revision as compacted; values stay. */
  dropChanges(revision: number): void;
  /** Reverts to an earlier revision, like a service that was restored from a backup. */
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
    listValues: (atRevision) => {
      const values = new Map<string, StoredValue>();
      for (const change of changes.filter((candidate) => candidate.revision <= atRevision)) {
        values.set(change.path, change);
      }
      return [...values.values()].filter((value) => !value.isDeleted);
    },
    listChangesFrom: (firstRevision) =>
      changes.filter((change) => change.revision >= firstRevision),
    dropChanges: (lastRevision) => {
      compactedRevision = lastRevision;
    },
    restoreRevision: (targetRevision) => {
      changes = changes.filter((change) => change.revision <= targetRevision);
      revision = targetRevision;
    },
  };
}
