import { expect } from "chai";
import { createSettingsModel } from "./create_settings_model.ts";
import type { SettingsModel } from "./settings_model.ts";

const DAEMONS = 400;
const DATA_CENTRES = 8;
/** Time within which a published value is in force everywhere. */
const IN_FORCE_MS = 5_000;
/** Calls that the settings service answers in one second. */
const CALLS_PER_SECOND = 2_000;
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
    title: "the service down and back",
    run: (model) => {
      model.setServiceDown(true);
      model.advance(8_000);
      model.setServiceDown(false);
    },
  },
  {
    title: "every daemon restarted at once",
    run: (model) => {
      stopAll(model);
      startAll(model);
    },
  },
  {
    title: "a data centre lost",
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
    it(`puts values in force within 5 s through faults, ${loss * 100}% of messages lost`, () => {
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
        expect(model.measureSpread(PATH, revision, 60_000), title).to.be.at.most(IN_FORCE_MS);
        expect(model.countPeakCalls(), title).to.be.at.most(CALLS_PER_SECOND);
      }
    });
  }

  it("keeps the newest value through restarts against a stale service", () => {
    const model = createSettingsModel({ daemons: DAEMONS, dataCentres: DATA_CENTRES, seed: 6 });
    const oldRevision = publishVersion(model, 1);
    startAll(model);
    model.advance(5_000);
    model.setServiceStale(true);
    model.setServiceStale(false);
    const newRevision = publishVersion(model, 2);
    expect(model.measureSpread(PATH, newRevision, 60_000)).to.be.at.most(IN_FORCE_MS);
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

  it("ends in one map everywhere, deletions and rejected values included", () => {
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
