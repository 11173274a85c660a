import { expect } from "chai";
import { createSettingsState } from "./settings_state.ts";
import { createSettingsView } from "./create_settings_view.ts";

const TEAMS = 1_500;
const makeHash = (index: number) => index.toString(16).padStart(64, "0");

describe("settings view", () => {
  const state = createSettingsState();
  const view = createSettingsView(state, () => () => {});
  let revision = 0;
  const publish = (path: string, text?: string) =>
    state.applyUpdate({ path, revision: ++revision, ...(text === undefined ? {} : { text }) });

  before(() => {
    for (let index = 0; index < TEAMS; index++) {
      publish(`teams/t${index}/access`, "models = m\n");
      publish(`teams/t${index}/keys`, `[a]\nsha256 = ${makeHash(index)}\n`);
    }
  });

  it("finds each of 1,500 teams by its key hash, and none by an unknown hash", () => {
    for (let index = 0; index < TEAMS; index++) {
      expect(view.findTeamByKeyHash(makeHash(index))).to.equal(`t${index}`);
    }
    expect(view.findTeamByKeyHash(makeHash(TEAMS))).to.equal(undefined);
    expect(view.findTeamByKeyHash("")).to.equal(undefined);
    expect(view.listTeams()).to.have.length(TEAMS);
  });

  it("returns the same object until the section changes", () => {
    const models = view.getModels();
    publish("teams/t0/access", "models = n\n");
    expect(view.getModels()).to.equal(models);
    publish("models/m", "version = 1\n");
    expect([...view.getModels().keys()]).to.deep.equal(["m"]);
    expect(view.getTeam("t0")?.access.models).to.deep.equal(["n"]);
  });

  it("removes a deleted team and its key", () => {
    publish("teams/t1/access");
    expect(view.getTeam("t1")).to.equal(undefined);
    expect(view.findTeamByKeyHash(makeHash(1))).to.equal(undefined);
    expect(view.getPathRevision("teams/t1/access")).to.equal(revision);
  });
});
