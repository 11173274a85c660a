import type { SettingsFinding } from "./settings_finding.ts";
import type { SettingsUpdate } from "./settings_update.ts";

/** Active value of one path. */
export interface AcceptedValue {
  readonly update: SettingsUpdate;
  /** Parsed and validated value; absent for a tombstone. */
  readonly value?: unknown;
}

/** Newest and active update of one path. */
export interface SettingsEntry {
  /** Newest update received, accepted or not. */
  readonly newest: SettingsUpdate;
  /** Newest accepted update; absent until one has been received. */
  readonly accepted?: AcceptedValue;
  /** Why `newest` was rejected; empty if it is active. */
  readonly findings: readonly SettingsFinding[];
}
