/** Published settings: merge, validation and the view that other slices read. @module */
export { createSettings } from "./create_settings.ts";
export type { Settings, SettingsOptions } from "./create_settings.ts";
export type { SettingsView, TeamSettings } from "./settings_view.ts";
export { checkSettingsTree } from "./check_settings_tree.ts";
export { validateSettingsValue } from "./validate_settings_value.ts";
export type { SettingsFinding } from "./settings_finding.ts";
