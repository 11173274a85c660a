import type { SettingsView, TeamSettings } from "../settings/mod.ts";

/** Returns whether the settings of the fleet or the team declare a call non-repeatable. */
export function isNonRepeatable(
  settings: SettingsView,
  team: TeamSettings,
  call: { readonly service: string; readonly method: string; readonly path: string },
): boolean {
  const rules = [
    ...(settings.getFleetServices()[call.service]?.nonRepeatable ?? []),
    ...(team.services[call.service]?.nonRepeatable ?? []),
  ];
  const text = `${call.method} ${call.path.split("?")[0]}`;
  return rules.some((rule) =>
    rule.endsWith("*") ? text.startsWith(rule.slice(0, -1)) : text === rule
  );
}
