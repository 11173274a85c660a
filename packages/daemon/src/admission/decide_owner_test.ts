import { expect } from "chai";
import { ADMISSION_LIMITS } from "./constants.ts";
import { decideOwner } from "./decide_owner.ts";
import type { LoadReport } from "./load_report.ts";
import { createTestOwner } from "./testing/create_test_owner.ts";
import type { TestOwner } from "./testing/create_test_owner.ts";
import { makeEntry } from "./testing/make_entry.ts";

const REPORT: LoadReport = {
  running: 0,
  waiting: 0,
  usedTokens: 0,
  capacityTokens: 1_000,
  preemptions: 0,
  leaving: false,
};

function submitRequests(owner: TestOwner, ids: readonly string[]): string[] {
  return ids.flatMap((id) => owner.apply({ type: "ask", entry: makeEntry(id) }));
}

describe("owner decisions", () => {
  it("grants while the projected peak fits, then queues, and grants on release", () => {
    const owner = createTestOwner();
    const effects = submitRequests(owner, ["a", "b", "c", "d", "e", "f"]);
    expect(effects).to.deep.equal([
      "grant a",
      "grant b",
      "grant c",
      "grant d",
      "place e",
      "place f",
    ]);
    expect(owner.apply({ type: "release", id: "b", produced: 90 })).to.deep.equal(["grant e"]);
  });

  it("keeps the place of an entry that is requested again, and repeats an earlier grant", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d", "e", "f"]);
    expect(submitRequests(owner, ["e", "a"])).to.deep.equal(["place e", "grant a"]);
    expect(owner.state.queue.size).to.equal(2);
    expect(owner.state.running.size).to.equal(4);
  });

  it("frees the memory of a grant when its lease expires after a crash of its entry daemon", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d", "e"]);
    const renewedMs = ADMISSION_LIMITS.grantLeaseMs - 1;
    for (const id of ["b", "c", "d"]) {
      owner.apply({ type: "tokens", id, produced: 1 }, renewedMs);
    }
    const effects = owner.apply({ type: "tick" }, ADMISSION_LIMITS.grantLeaseMs);
    expect(effects).to.deep.equal(["grant e"]);
    expect([...owner.state.running.keys()]).to.deep.equal(["b", "c", "d", "e"]);
  });

  const refusals: [string, TestOwner, Parameters<typeof makeEntry>[1], string][] = [
    ["a prompt larger than the memory", createTestOwner(), { promptTokens: 1_000 }, "tooLarge"],
    ["a request for a draining engine", createTestOwner({ leaving: true }), {}, "leaving"],
  ];
  for (const [subject, owner, changes, reason] of refusals) {
    it(`refuses ${subject} immediately`, () => {
      const effects = owner.apply({ type: "ask", entry: makeEntry("a", changes) });
      expect(effects).to.deep.equal([`refuse a ${reason}`]);
      expect(owner.state.queue.size).to.equal(0);
      expect(owner.state.running.size).to.equal(0);
    });
  }

  it("immediately refuses a request that cannot meet its deadline, with a retry delay", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d"]);
    const entry = makeEntry("late", { deadlineMs: 100 });
    const [effect] = decideOwner(owner.state, { type: "ask", entry }, 0);
    expect(effect).to.deep.include({ type: "refuse", id: "late", reason: "late" });
    expect(effect).to.have.property("retryAfterMs").at.least(ADMISSION_LIMITS.minRetryAfterMs);
    expect(owner.apply({ type: "release", id: "a" })).to.deep.equal([]);
  });

  it("refuses a queued entry as soon as its deadline cannot be met", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d"]);
    owner.apply({ type: "ask", entry: makeEntry("e", { deadlineMs: 5_000 }) });
    expect(owner.apply({ type: "tick" }, 4_000)).to.deep.equal([]);
    expect(owner.apply({ type: "tick" }, 4_990)).to.deep.equal(["refuse e late"]);
  });

  const triggers: [string, (owner: TestOwner) => string[]][] = [
    [
      "the engine's report",
      (owner) => owner.apply({ type: "report", report: { ...REPORT, leaving: true } }),
    ],
    ["a leave event", (owner) => owner.apply({ type: "leave" })],
  ];
  for (const [trigger, applyTrigger] of triggers) {
    it(`grants nothing on a draining engine after ${trigger}, and refuses queued entries`, () => {
      const owner = createTestOwner();
      submitRequests(owner, ["a", "b", "c", "d", "e"]);
      expect(applyTrigger(owner)).to.deep.equal(["refuse e leaving"]);
      const after = [
        ...owner.apply({ type: "release", id: "a" }),
        ...submitRequests(owner, ["f"]),
        ...owner.apply({ type: "tick" }, 1_000),
      ];
      expect(after).to.deep.equal(["refuse f leaving"]);
      expect([...owner.state.running.keys()]).to.deep.equal(["b", "c", "d"]);
    });
  }

  it("refuses one of the least urgent entries when the queue is full", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d"]);
    const ids = Array.from({ length: ADMISSION_LIMITS.maxQueued }, (_, index) => `q${index}`);
    submitRequests(owner, ids);
    const entry = makeEntry("urgent", { urgency: 0 });
    const effects = owner.apply({ type: "ask", entry });
    expect(effects[0]).to.match(/^refuse q\d+ full$/);
    expect(effects[1]).to.equal("place urgent");
    expect(owner.state.queue.size).to.equal(ADMISSION_LIMITS.maxQueued);
  });

  it("grants an urgent entry despite the memory limit after urgentBypassMs", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d"]);
    owner.apply({ type: "ask", entry: makeEntry("urgent", { urgency: 0 }) });
    const { urgentBypassMs } = ADMISSION_LIMITS;
    expect(owner.apply({ type: "tick" }, urgentBypassMs - 1)).to.deep.equal([]);
    expect(owner.apply({ type: "tick" }, urgentBypassMs)).to.deep.equal(["grant urgent"]);
  });

  it("does not starve an entry behind a stream of more urgent ones", () => {
    const owner = createTestOwner();
    submitRequests(owner, ["a", "b", "c", "d", "waiting"]);
    const granted: string[] = [];
    let running = ["a", "b", "c", "d"];
    for (let round = 0; round < 3 * ADMISSION_LIMITS.agedGrantInterval; round++) {
      const nowMs = ADMISSION_LIMITS.agingMs + round;
      const changes = { urgency: 3, arrivedMs: nowMs, deadlineMs: nowMs + 600_000 };
      owner.apply({ type: "ask", entry: makeEntry(`more-${round}`, changes) }, nowMs);
      const effects = owner.apply({ type: "release", id: running[0] as string }, nowMs);
      const ids = effects.map((effect) => effect.replace("grant ", ""));
      running = [...running.slice(1), ...ids];
      granted.push(...ids);
    }
    expect(granted.indexOf("waiting")).to.be.within(0, ADMISSION_LIMITS.agedGrantInterval);
  });

  describe("after a change of owner", () => {
    it("limits grants before the engine's first load report", () => {
      const owner = createTestOwner("none");
      const ids = Array.from({ length: 8 }, (_, index) => `a${index}`);
      const entries = ids.map((id) => makeEntry(id, { promptTokens: 1 }));
      const effects = entries.flatMap((entry) => owner.apply({ type: "ask", entry }));
      const granted = effects.filter((effect) => effect.startsWith("grant"));
      expect(granted).to.have.length(ADMISSION_LIMITS.maxGrantsBeforeReport);
    });

    it("counts memory of unknown grants as used until entry daemons report the grants", () => {
      const owner = createTestOwner({ usedTokens: 900 });
      expect(submitRequests(owner, ["first", "second"])).to.deep.equal([
        "place first",
        "place second",
      ]);
      for (const id of ["x", "y", "z"]) {
        owner.apply({ type: "adopt", entry: makeEntry(id), produced: 100 });
      }
      expect(owner.state.unattributedTokens).to.equal(300);
      expect(owner.state.running.size).to.equal(3);
    });

    it("adopts a grant only once when it is reported repeatedly", () => {
      const owner = createTestOwner();
      for (let time = 0; time < 3; time++) {
        owner.apply({ type: "adopt", entry: makeEntry("x"), produced: 10 });
      }
      expect(owner.state.running.size).to.equal(1);
    });
  });
});
