import { parseSettingsValue } from "./parse_settings_value.ts";
import type { SettingsFinding } from "./settings_finding.ts";

/** Validates one published value by the daemons' rules; an empty list means accepted. */
export function validateSettingsValue(path: string, text: string): readonly SettingsFinding[] {
  return parseSettingsValue(path, text).swap().orDefault([]);
}
