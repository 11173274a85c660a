import { modelSchema, teamAccessSchema } from "@crocussail/protocol";
import { expect } from "chai";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { listModelNames } from "./list_model_names.ts";
import { resolveModelTarget } from "./resolve_model_target.ts";

const MODELS = new Map([
  ["plan-70b", modelSchema.parse({ version: "2", adapters: "containers, yards" })],
  ["draft-32b", modelSchema.parse({ version: "1" })],
]);
const SETTINGS = { getModels: () => MODELS } as unknown as SettingsView;

const createTeam = (access: Record<string, string>): TeamSettings => ({
  name: "planners",
  access: teamAccessSchema.parse(access),
  kinds: {},
  services: {},
});

describe("resolveModelTarget", () => {
  const team = createTeam({ models: "plan-70b, gone-7b", adapters: "containers", versions: "2" });
  const cases: readonly { name: string; team: TeamSettings; expected: unknown }[] = [
    { name: "plan-70b", team, expected: { model: "plan-70b" } },
    { name: "plan-70b:containers", team, expected: { model: "plan-70b", adapter: "containers" } },
    { name: "plan-70b:yards", team, expected: 'may not use adapter "yards" of model "plan-70b"' },
    { name: "plan-70b:", team, expected: 'may not use adapter "" of model "plan-70b"' },
    { name: "draft-32b", team, expected: 'may not use model "draft-32b"' },
    { name: "gone-7b", team, expected: 'may not use model "gone-7b"' },
    {
      name: "plan-70b",
      team: createTeam({ models: "plan-70b", versions: "1" }),
      expected: 'may not use version "2" of model "plan-70b"',
    },
  ];
  for (const { name, team: caller, expected } of cases) {
    it(`for "${name}" and versions "${caller.access.versions}" returns ${JSON.stringify(expected)}`, () => {
      const target = resolveModelTarget(name, caller, SETTINGS);
      const shown = target.isRight()
        ? target.extract()
        : target.swap().unsafeCoerce().detail.replace('team "planners" ', "");
      expect(shown).to.deep.equal(expected);
    });
  }

  it("lists every name that resolves", () => {
    expect(listModelNames(team, SETTINGS)).to.deep.equal(["plan-70b", "plan-70b:containers"]);
  });
});
