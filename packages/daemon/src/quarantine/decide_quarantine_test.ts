import { expect } from "chai";
import { clearSuspect } from "./clear_suspect.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";
import { recordCrash } from "./quarantine_state.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/** An upstream that crashed, and the tokens of the requests that it was running, by fingerprint. */
type CrashCase = readonly [upstream: string, suspects: Readonly<Record<string, number>>];

function makeState(crashes: readonly CrashCase[]): QuarantineState {
  const state: QuarantineState = { crashes: [], quarantined: new Map() };
  crashes.forEach(([upstream, tokens], index) => {
    const suspects = Object.entries(tokens)
      .map(([fingerprint, count]) => ({ fingerprint, tokens: count }));
    recordCrash(state, { upstream, suspects }, index * 60_000, QUARANTINE_DEFAULTS);
  });
  return state;
}

const listQuarantined = (state: QuarantineState) =>
  ["f", "g", "h"].filter((fingerprint) =>
    decideQuarantine(fingerprint, state.crashes, QUARANTINE_DEFAULTS).type === "quarantine"
  );

describe("decideQuarantine", () => {
  const cases: readonly {
    title: string;
    crashes: readonly CrashCase[];
    cleared?: string;
    expected: readonly string[];
  }[] = [
    { title: "clears after one crash", crashes: [["u1", { f: 0 }]], expected: [] },
    {
      title: "quarantines the only request on two crashed upstreams",
      crashes: [["u1", { f: 0 }], ["u2", { f: 0 }]],
      expected: ["f"],
    },
    {
      title: "clears when one upstream crashes twice",
      crashes: [["u1", { f: 0 }], ["u1", { f: 0 }]],
      expected: [],
    },
    {
      title: "quarantines the only request common to two crashes",
      crashes: [["u1", { f: 900, g: 0 }], ["u2", { f: 700, h: 0 }]],
      expected: ["f"],
    },
    {
      title: "clears two requests that ran together at both crashes",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }]],
      expected: [],
    },
    {
      title: "quarantines the only request that ran at all three crashes",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }], ["u3", { f: 0 }]],
      expected: ["f"],
    },
    {
      title: "quarantines one of two requests that ran at both crashes after the other completed",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }]],
      cleared: "g",
      expected: ["f"],
    },
    {
      title: "quarantines the request in its first steps, not the long-running one beside it",
      crashes: [["u1", { f: 1, g: 500 }], ["u2", { f: 1, g: 900 }]],
      expected: ["f"],
    },
    {
      title: "clears two long-running requests that ran together at both crashes",
      crashes: [["u1", { f: 400, g: 500 }], ["u2", { f: 800, g: 900 }]],
      expected: [],
    },
  ];
  for (const { title, crashes, cleared, expected } of cases) {
    it(title, () => {
      const state = makeState(crashes);
      if (cleared !== undefined) {
        clearSuspect(state, cleared);
      }
      expect(listQuarantined(state)).to.deep.equal(expected);
    });
  }

  it("ignores crashes of many upstreams at the same time", () => {
    const state = makeState([]);
    const suspects = [{ fingerprint: "f", tokens: 0 }];
    for (const [index, upstream] of ["u1", "u2", "u3"].entries()) {
      recordCrash(state, { upstream, suspects }, index * 1_000, QUARANTINE_DEFAULTS);
    }
    expect(listQuarantined(state)).to.deep.equal(["f"]);
    recordCrash(state, { upstream: "u4", suspects: [] }, 3_000, QUARANTINE_DEFAULTS);
    expect(listQuarantined(state)).to.deep.equal([]);
  });

  it("merges the reports of several daemons on one crash", () => {
    const state = makeState([]);
    const report = (fingerprint: string) => ({
      upstream: "u1",
      suspects: [{ fingerprint, tokens: 0 }],
    });
    recordCrash(state, report("f"), 0, QUARANTINE_DEFAULTS);
    recordCrash(state, report("g"), 400, QUARANTINE_DEFAULTS);
    expect(state.crashes.map((crash) => [...crash.suspects.keys()])).to.deep.equal([["f", "g"]]);
  });

  it("evicts the oldest crash at the limit, and expires crashes", () => {
    const crashes = Array.from(
      { length: QUARANTINE_DEFAULTS.maxCrashes + 1 },
      (_, index): CrashCase => [`u${index}`, { f: 0 }],
    );
    const state: QuarantineState = { crashes: [], quarantined: new Map() };
    const [first] = crashes;
    for (const [upstream] of crashes) {
      recordCrash(state, { upstream, suspects: [] }, 0, QUARANTINE_DEFAULTS);
    }
    expect(state.crashes.length).to.equal(QUARANTINE_DEFAULTS.maxCrashes);
    expect(state.crashes.map((crash) => crash.upstream)).not.to.include(first?.[0]);
    const lateMs = QUARANTINE_DEFAULTS.evidenceMs + 1;
    recordCrash(state, { upstream: "u", suspects: [] }, lateMs, QUARANTINE_DEFAULTS);
    expect(state.crashes.map((crash) => crash.upstream)).to.deep.equal(["u"]);
  });
});
