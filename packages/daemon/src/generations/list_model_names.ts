import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { resolveModelTarget } from "./resolve_model_target.ts";

/** Lists the model names that a team may use in requests, including those with adapters. */
export function listModelNames(team: TeamSettings, settings: SettingsView): string[] {
  const names = team.access.models.flatMap((model) => [
    model,
    ...team.access.adapters.map((adapter) => `${model}:${adapter}`),
  ]);
  return names.filter((name) => resolveModelTarget(name, team, settings).isRight());
}
