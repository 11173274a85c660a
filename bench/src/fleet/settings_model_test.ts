import { expect } from "chai";
import { createSettingsModel } from "./create_settings_model.ts";
import type { SettingsModel } from "./settings_model.ts";

const DAEMONS = 400;
const DATA_CENTRES = 8;
/** Time within which a published value is active on every daemon. */
const MAX_SPREAD_MS = 5_000;
/** Calls that the settings service can answer in one second. */
const MAX_CALLS_PER_SECOND = 2_000;
const PATH = "models/plan";

const startAll = (model: SettingsModel) => {
  for (let index = 0; index < DAEMONS; index++) {
    model.startDaemon(index);
  }
};
const stopAll = (model: SettingsModel) => {
  for (let index = 0; index < DAEMONS; index++) {
    model.stopDaemon(index);
  }
};
const publishVersion = (model: SettingsModel, version: number) =>
  model.publish(PATH, `version = ${version}\n`);
const listRevisions = (model: SettingsModel) =>
  Array.from(
    { length: DAEMONS },
    (_, index) => model.getState(index).getEntry(PATH)?.accepted?.update.revision ?? 0,
  );

const FAULTS: readonly { title: string; run(model: SettingsModel): void }[] = [
  { title: "no fault", run: () => {} },
  {
    title: "outage of the service",
    run: (model) => {
      model.setServiceDown(true);
      model.advance(8_000);
      model.setServiceDown(false);
    },
  },
  {
    title: "simultaneous restart of all daemons",
    run: (model) => {
      stopAll(model);
      startAll(model);
    },
  },
  {
    title: "loss of a data centre",
    run: (model) => {
      for (let index = 0; index < DAEMONS; index += DATA_CENTRES) {
        model.stopDaemon(index);
      }
    },
  },
];

describe("settings of 400 daemons", function () {
  this.timeout(60_000);

  for (const loss of [0, 0.05]) {
    it(`activates values within 5 s after each fault, with ${loss * 100}% of messages lost`, () => {
      const model = createSettingsModel({
        daemons: DAEMONS,
        dataCentres: DATA_CENTRES,
        seed: 1,
        loss,
      });
      startAll(model);
      model.advance(5_000);
      for (const [index, { title, run }] of FAULTS.entries()) {
        run(model);
        const revision = publishVersion(model, index);
        expect(model.measureSpread(PATH, revision, 60_000), title).to.be.at.most(MAX_SPREAD_MS);
        expect(model.countPeakCalls(), title).to.be.at.most(MAX_CALLS_PER_SECOND);
      }
    });
  }

  it("keeps the newest value when daemons restart while the service is stale", () => {
    const model = createSettingsModel({ daemons: DAEMONS, dataCentres: DATA_CENTRES, seed: 6 });
    const oldRevision = publishVersion(model, 1);
    startAll(model);
    model.advance(5_000);
    model.setServiceStale(true);
    model.setServiceStale(false);
    const newRevision = publishVersion(model, 2);
    expect(model.measureSpread(PATH, newRevision, 60_000)).to.be.at.most(MAX_SPREAD_MS);
    model.setServiceStale(true);
    for (let index = 0; index < DAEMONS; index += 2) {
      model.stopDaemon(index);
      model.startDaemon(index);
    }
    for (let elapsedMs = 0; elapsedMs < 11_000; elapsedMs += 500) {
      model.advance(500);
      const ready = listRevisions(model).filter((_, index) => model.isReady(index));
      expect(ready.every((revision) => revision === newRevision)).to.equal(true);
    }
    expect(oldRevision).to.be.below(newRevision);
    expect(Array.from({ length: DAEMONS }, (_, index) => model.isReady(index)))
      .to.not.include(false);
  });

  it("converges to the same settings everywhere, deletions and rejected values included", () => {
    const model = createSettingsModel({
      daemons: DAEMONS,
      dataCentres: DATA_CENTRES,
      seed: 7,
      loss: 0.05,
    });
    startAll(model);
    model.publish("models/old", "version = 1\n");
    publishVersion(model, 1);
    model.advance(5_000);
    model.publish("models/old");
    model.publish(PATH, "verson = 2\n");
    model.advance(5_000);
    const hashes = Array.from(
      { length: DAEMONS },
      (_, index) => model.getState(index).digest.getHash(),
    );
    expect(new Set(hashes).size).to.equal(1);
    const entry = model.getState(0).getEntry(PATH);
    expect(entry?.accepted?.update.text).to.equal("version = 1\n");
    expect(entry?.findings.map((finding) => finding.name)).to.include("verson");
    expect(model.getState(0).getEntry("models/old")?.accepted?.value).to.equal(undefined);
  });
});
