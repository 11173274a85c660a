import type { SettingsFinding } from "./settings_finding.ts";
import type { SettingsUpdate } from "./settings_update.ts";

/** Value in force at one path. */
export interface AcceptedValue {
  readonly update: SettingsUpdate;
  /** Checked value; absent for a tombstone. */
  readonly value?: unknown;
}

/** What is known of one path. */
export interface SettingsEntry {
  /** Newest update seen, accepted or not. */
  readonly newest: SettingsUpdate;
  /** Newest accepted update; absent until one has been seen. */
  readonly accepted?: AcceptedValue;
  /** Why `newest` was rejected; empty when it is in force. */
  readonly findings: readonly SettingsFinding[];
}
