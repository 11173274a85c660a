import { expect } from "chai";
import fc from "fast-check";
import { SETTINGS_LIMITS } from "./constants.ts";
import { createSettingsState } from "./settings_state.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsUpdate } from "./settings_update.ts";

const SEED = 20_261;
const PATHS = ["models/a", "models/b", "teams/t/access"];
const TEXTS: Readonly<Record<string, readonly string[]>> = {
  "models/a": ["version = 1\n", "version = 2\n", "verson = 3\n"],
  "models/b": ["version = 1\n", "oops\n"],
  "teams/t/access": ["models = a\n", "weight = heavy\n"],
};

/** 1 to 24 changes of the paths above; the revision is the position in the list. */
const historyArbitrary = fc.array(
  fc.record({ path: fc.constantFrom(...PATHS), choice: fc.nat(3) }),
  { minLength: 1, maxLength: 24 },
).map((changes) =>
  changes.map(({ path, choice }, index): SettingsUpdate => {
    const text = TEXTS[path]?.[choice];
    return { path, revision: index + 1, ...(text === undefined ? {} : { text }) };
  })
);

const makeState = (updates: readonly SettingsUpdate[]): SettingsState => {
  const state = createSettingsState();
  updates.forEach(state.applyUpdate);
  return state;
};
const dumpEntries = (state: SettingsState) =>
  [...state.listEntries()].sort((left, right) => left.newest.path < right.newest.path ? -1 : 1);

describe("settings state", () => {
  it("produces the same map and hash for any order and repetition of the same updates", () => {
    const scenario = historyArbitrary.chain((history) =>
      fc.tuple(
        fc.constant(history),
        fc.shuffledSubarray([...history, ...history], { minLength: history.length }),
      )
    );
    fc.assert(
      fc.property(scenario, ([history, delivered]) => {
        const seen = history.filter((update) => delivered.includes(update));
        const inOrder = makeState(seen);
        const anyOrder = makeState(delivered);
        expect(dumpEntries(anyOrder)).to.deep.equal(dumpEntries(inOrder));
        expect(anyOrder.digest.getHash()).to.equal(inOrder.digest.getHash());
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it("never replaces an accepted value by an older one, in any order of arrival", () => {
    fc.assert(
      fc.property(
        historyArbitrary.chain((history) => fc.shuffledSubarray(history)),
        (delivered) => {
          const state = createSettingsState();
          for (const update of delivered) {
            const before = state.getEntry(update.path)?.accepted?.update.revision ?? 0;
            state.applyUpdate(update);
            const after = state.getEntry(update.path)?.accepted?.update.revision ?? 0;
            expect(after).to.be.at.least(before);
          }
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it("accepts a valid older update after a rejected newer one", () => {
    const state = makeState([
      { path: "models/a", revision: 9, text: "oops\n" },
      { path: "models/a", revision: 4, text: "version = 1\n" },
    ]);
    const entry = state.getEntry("models/a");
    expect(entry?.newest.revision).to.equal(9);
    expect(entry?.findings).to.have.length(1);
    expect(entry?.accepted?.update.revision).to.equal(4);
  });

  it("chooses the same one of two values with the same revision from a restored service", () => {
    const updates = ["version = 1\n", "version = 2\n"].map((text) => ({
      path: "models/a",
      revision: 5,
      text,
    }));
    const hashes = [updates, updates.toReversed()].map((order) =>
      makeState(order).digest.getHash()
    );
    expect(hashes[0]).to.equal(hashes[1]);
  });

  it("accepts a value of 1 MB and rejects a larger one without storing it", () => {
    const head = "version = 1\n";
    const largest = head + ";".padEnd(SETTINGS_LIMITS.maxValueBytes - head.length, "x");
    const state = makeState([{ path: "models/a", revision: 1, text: largest }]);
    const merge = state.applyUpdate({ path: "models/a", revision: 2, text: `${largest}x` });
    expect(merge).to.equal("rejected");
    expect(state.getEntry("models/a")?.accepted?.update.text).to.equal(largest);
    expect(state.countBytes()).to.be.below(2 * SETTINGS_LIMITS.maxValueBytes);
  });

  it("refuses a path that is too long", () => {
    const path = `models/${"x".repeat(SETTINGS_LIMITS.maxPathLength)}`;
    expect(createSettingsState().applyUpdate({ path, revision: 1 })).to.equal("refused");
  });

  it("keeps the newest tombstones at the limit", () => {
    const state = createSettingsState();
    for (let revision = 1; revision <= SETTINGS_LIMITS.maxTombstones + 2; revision++) {
      state.applyUpdate({ path: `hosts/h${revision}`, revision });
    }
    expect(state.countTombstones()).to.equal(SETTINGS_LIMITS.maxTombstones);
    expect(state.getEntry("hosts/h2")).to.equal(undefined);
    expect(state.getEntry("hosts/h3")?.newest.revision).to.equal(3);
  });
});
