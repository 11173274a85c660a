import { expect } from "chai";
import { clearSuspect } from "./clear_suspect.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";
import { recordCrash } from "./quarantine_state.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/** Tokens by fingerprint of the requests that ran on an upstream when it crashed. */
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

const listGuilty = (state: QuarantineState) =>
  ["f", "g", "h"].filter((fingerprint) =>
    decideQuarantine(fingerprint, state.crashes, QUARANTINE_DEFAULTS).type === "quarantine"
  );

describe("decideQuarantine", () => {
  const cases: readonly {
    title: string;
    crashes: readonly CrashCase[];
    cleared?: string;
    guilty: readonly string[];
  }[] = [
    { title: "one crash proves nothing", crashes: [["u1", { f: 0 }]], guilty: [] },
    {
      title: "a request alone on two dying upstreams is guilty",
      crashes: [["u1", { f: 0 }], ["u2", { f: 0 }]],
      guilty: ["f"],
    },
    {
      title: "one upstream that dies twice is not two upstreams",
      crashes: [["u1", { f: 0 }], ["u1", { f: 0 }]],
      guilty: [],
    },
    {
      title: "different neighbours clear, the only common factor is guilty",
      crashes: [["u1", { f: 900, g: 0 }], ["u2", { f: 700, h: 0 }]],
      guilty: ["f"],
    },
    {
      title: "two requests placed again together are not told apart by two crashes",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }]],
      guilty: [],
    },
    {
      title: "a third crash tells them apart",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }], ["u3", { f: 0 }]],
      guilty: ["f"],
    },
    {
      title: "a later good run of one tells them apart",
      crashes: [["u1", { f: 0, g: 0 }], ["u2", { f: 0, g: 0 }]],
      cleared: "g",
      guilty: ["f"],
    },
    {
      title: "the one in its first steps is guilty beside a long runner on both upstreams",
      crashes: [["u1", { f: 1, g: 500 }], ["u2", { f: 1, g: 900 }]],
      guilty: ["f"],
    },
    {
      title: "long runners on both upstreams are not told apart",
      crashes: [["u1", { f: 400, g: 500 }], ["u2", { f: 800, g: 900 }]],
      guilty: [],
    },
  ];
  for (const { title, crashes, cleared, guilty } of cases) {
    it(title, () => {
      const state = makeState(crashes);
      if (cleared !== undefined) {
        clearSuspect(state, cleared);
      }
      expect(listGuilty(state)).to.deep.equal(guilty);
    });
  }

  it("blames no request for the loss of many upstreams at once", () => {
    const state = makeState([]);
    const suspects = [{ fingerprint: "f", tokens: 0 }];
    for (const [index, upstream] of ["u1", "u2", "u3"].entries()) {
      recordCrash(state, { upstream, suspects }, index * 1_000, QUARANTINE_DEFAULTS);
    }
    expect(listGuilty(state)).to.deep.equal(["f"]);
    recordCrash(state, { upstream: "u4", suspects: [] }, 3_000, QUARANTINE_DEFAULTS);
    expect(listGuilty(state)).to.deep.equal([]);
  });

  it("joins the reports of several daemons on one crash", () => {
    const state = makeState([]);
    const report = (fingerprint: string) => ({
      upstream: "u1",
      suspects: [{ fingerprint, tokens: 0 }],
    });
    recordCrash(state, report("f"), 0, QUARANTINE_DEFAULTS);
    recordCrash(state, report("g"), 400, QUARANTINE_DEFAULTS);
    expect(state.crashes.map((crash) => [...crash.suspects.keys()])).to.deep.equal([["f", "g"]]);
  });

  it("forgets the oldest crash at the bound, and every crash in time", () => {
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
