import { expect } from "chai";
import type { Candidate } from "./candidate.ts";
import { chooseLocal } from "./choose_local.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { createGapModel } from "./create_gap_model.ts";
import { createLeavingList } from "./create_leaving_list.ts";
import { createPrefixIndex } from "./create_prefix_index.ts";
import { findOwner } from "./find_owner.ts";
import { advanceHeadroom } from "./headroom_state.ts";
import { rankCandidates } from "./rank_candidates.ts";
import { scoreExpectedTime } from "./score_expected_time.ts";
import { scoreInFlight } from "./score_in_flight.ts";
import { scoreRoundRobin } from "./score_round_robin.ts";

function makeCandidate(upstream: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    upstream,
    inFlight: 0,
    waitMs: 0,
    firstTokenMs: 200,
    gapMs: 20,
    hitProbability: 0,
    ageMs: 0,
    remainingTokens: 100,
    choices: 0,
    ...changes,
  };
}

describe("candidate scores", () => {
  const cases: [string, Partial<Candidate>, Partial<Candidate>, typeof scoreExpectedTime][] = [
    ["prefers the shorter wait", { waitMs: 100 }, { waitMs: 5_000 }, scoreExpectedTime],
    ["prefers the faster engine", { gapMs: 15 }, { gapMs: 30 }, scoreExpectedTime],
    [
      "prefers the engine with the prefix",
      { hitProbability: 1 },
      { hitProbability: 0 },
      scoreExpectedTime,
    ],
    ["prefers the fresher load figure", { ageMs: 0 }, { ageMs: 10_000 }, scoreExpectedTime],
    [
      "least in flight compares only in-flight generations",
      { inFlight: 1, waitMs: 9 },
      { inFlight: 2 },
      scoreInFlight,
    ],
    [
      "round robin compares only earlier choices",
      { choices: 1, inFlight: 9 },
      { choices: 2 },
      scoreRoundRobin,
    ],
  ];
  for (const [title, better, worse, score] of cases) {
    it(title, () => {
      const ranked = rankCandidates([makeCandidate("a", worse), makeCandidate("b", better)], score);
      expect(ranked.map(({ upstream }) => upstream)).to.deep.equal(["b", "a"]);
    });
  }
});

describe("prefix index", () => {
  const stored = (sequence: number, prefix = "p") => ({
    sequence,
    type: "stored" as const,
    prefix,
  });

  it("gives cache events a higher probability than placements, and expired records none", () => {
    const index = createPrefixIndex();
    index.recordPlacement("p", "a", 0);
    index.applyEvents("b", [stored(1)], 0);
    expect(index.estimateHitProbability("p", "b", 1)).to.be.above(
      index.estimateHitProbability("p", "a", 1),
    );
    expect(index.estimateHitProbability("p", "b", ADMISSION_LIMITS.prefixTtlMs)).to.equal(0);
  });

  it("halves the probability of a prefix after a sequence gap, and drops removed prefixes", () => {
    const index = createPrefixIndex();
    index.applyEvents("a", [stored(1)], 0);
    index.applyEvents("a", [stored(5, "q")], 0);
    expect(index.estimateHitProbability("p", "a", 1)).to.equal(0.5);
    expect(index.estimateHitProbability("q", "a", 1)).to.equal(1);
    index.applyEvents("a", [{ sequence: 6, type: "removed", prefix: "q" }], 0);
    expect(index.estimateHitProbability("q", "a", 1)).to.equal(0);
  });

  it("ignores duplicate and late events", () => {
    const index = createPrefixIndex();
    index.applyEvents("a", [stored(1), { sequence: 2, type: "removed", prefix: "p" }], 0);
    index.applyEvents("a", [stored(1)], 0);
    expect(index.estimateHitProbability("p", "a", 1)).to.equal(0);
    expect(index.getSequence("a")).to.equal(2);
  });
});

describe("headroom", () => {
  it("increases with preemptions and token gaps, decays without them, and has a maximum", () => {
    const start = { share: 0.1, changedAtMs: 0 };
    const raised = advanceHeadroom(start, { type: "preempted", count: 1 }, 1);
    expect(raised.share).to.be.above(start.share);
    expect(advanceHeadroom(start, { type: "gapAboveTarget" }, 1).share).to.be.above(start.share);
    expect(advanceHeadroom(raised, { type: "tick" }, 100).share).to.equal(raised.share);
    expect(advanceHeadroom(raised, { type: "tick" }, 60_000).share).to.be.below(raised.share);
    let state = start;
    for (let round = 0; round < 100; round++) {
      state = advanceHeadroom(state, { type: "preempted", count: 9 }, round);
    }
    expect(state.share).to.be.below(0.5);
  });
});

describe("gap model", () => {
  it("computes the largest batch that keeps the gap within its target", () => {
    const model = createGapModel();
    for (let batch = 1; batch <= 40; batch++) {
      model.recordGap(batch, 14 + batch / 2);
    }
    expect(model.computeBatchLimit(30, 64)).to.be.within(31, 33);
    expect(model.computeBatchLimit(1, 64)).to.equal(1);
    expect(model.computeBatchLimit(500, 64)).to.equal(64);
  });
});

describe("admission owner", () => {
  const hosts = ["a", "b", "c", "d"].map((host, index) => ({
    host,
    dataCentre: index < 2 ? "toledo" : "suva",
  }));

  it("is in the upstream's data centre, and independent of host order and of other hosts", () => {
    const owner = findOwner("plan-1", "toledo", hosts) as string;
    expect(["a", "b"]).to.include(owner);
    expect(findOwner("plan-1", "toledo", [...hosts].reverse())).to.equal(owner);
    const other = owner === "a" ? "b" : "a";
    expect(findOwner("plan-1", "toledo", hosts.filter(({ host }) => host !== other))).to.equal(
      owner,
    );
  });

  it("is in another data centre when the upstream's has no host; undefined without hosts", () => {
    expect(["c", "d"]).to.include(findOwner("plan-1", "toledo", hosts.slice(2)));
    expect(findOwner("plan-1", "toledo", [])).to.equal(undefined);
  });
});

describe("local choice", () => {
  it("takes the less loaded of two random candidates, and none at maxSelfGrants", () => {
    const candidates = [
      { upstream: "a", selfGrantedCount: 0, inFlight: 5 },
      { upstream: "b", selfGrantedCount: 0, inFlight: 1 },
      { upstream: "full", selfGrantedCount: 2, inFlight: 0 },
    ];
    let draw = 0;
    expect(chooseLocal(candidates, 2, (bound) => draw++ % bound)).to.equal("b");
    expect(chooseLocal(candidates.slice(2), 2, () => 0)).to.equal(undefined);
  });
});

describe("leaving list", () => {
  it("reports only the first mark as new, and forgets marks that expire or are cleared", () => {
    const list = createLeavingList();
    expect([list.markLeaving("a", 0), list.markLeaving("a", 1)]).to.deep.equal([true, false]);
    expect(list.isLeaving("a", ADMISSION_LIMITS.leavingTtlMs + 1)).to.equal(false);
    list.markLeaving("b", 0);
    expect([list.clearLeaving("b", 1), list.isLeaving("b", 1)]).to.deep.equal([true, false]);
  });
});
