import type { SettingsUpdate } from "./settings_update.ts";

/**
 * Orders two updates of one path by revision, and updates of equal revision by content. A service
 * assigns each revision to one change only; the comparison by content makes daemons agree even if a
 * restored service has assigned a revision twice.
 */
export function compareUpdates(left: SettingsUpdate, right: SettingsUpdate): number {
  if (left.revision !== right.revision) {
    return left.revision - right.revision;
  }
  const leftContent = describeContent(left);
  const rightContent = describeContent(right);
  return leftContent === rightContent ? 0 : leftContent < rightContent ? -1 : 1;
}

function describeContent(update: SettingsUpdate): string {
  if (update.text !== undefined) {
    return `text:${update.text}`;
  }
  return update.oversizeBytes === undefined ? "deleted" : `oversize:${update.oversizeBytes}`;
}
