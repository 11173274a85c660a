import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import type { ModelTarget } from "./model_target.ts";

const SEPARATOR = ":";

/**
 * Resolves a model name of the form `<model>` or `<model>:<adapter>`, and checks that the team may
 * use the model, its published version and the adapter.
 */
export function resolveModelTarget(
  name: string,
  team: TeamSettings,
  settings: SettingsView,
): Either<ResultError, ModelTarget> {
  const [model = "", adapter] = name.split(SEPARATOR, 2);
  const { access } = team;
  const published = settings.getModels().get(model);
  const refuse = (what: string) =>
    Left(createResultError("forbidden", `team "${team.name}" may not use ${what}`));
  if (!access.models.includes(model) || published === undefined) {
    return refuse(`model "${model}"`);
  }
  if (access.versions.length > 0 && !access.versions.includes(published.version)) {
    return refuse(`version "${published.version}" of model "${model}"`);
  }
  if (adapter === undefined) {
    return Right({ model });
  }
  if (!access.adapters.includes(adapter) || !published.adapters.includes(adapter)) {
    return refuse(`adapter "${adapter}" of model "${model}"`);
  }
  return Right({ model, adapter });
}
