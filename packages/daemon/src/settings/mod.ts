/** Published settings: merge, validation and the view that other slices read. @module */
export { createSettings } from "./create_settings.ts";
export type { Settings, SettingsOptions } from "./create_settings.ts";
export type { SettingsView, TeamSettings } from "../common/settings_view.ts";
export { checkSettingsTree } from "./check_settings_tree.ts";
export { validateSettingsValue } from "./validate_settings_value.ts";
export type { SettingsFinding } from "./settings_finding.ts";
export { createSettingsAgent } from "./create_settings_agent.ts";
export type { SettingsAgent, SettingsAgentOptions } from "./create_settings_agent.ts";
export { createSettingsState } from "./settings_state.ts";
export type { SettingsState } from "./settings_state.ts";
export { createSettingsView } from "./create_settings_view.ts";
export { selectSettingsPage } from "./select_settings_page.ts";
export type { PullRequest, SelectedPage } from "./select_settings_page.ts";
export type { SettingsEffect } from "./settings_effect.ts";
export type { SettingsEvent } from "./settings_event.ts";
export type { SettingsUpdate } from "./settings_update.ts";
