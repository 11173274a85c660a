import { expect } from "chai";
import { array, assert, constantFrom, integer, property, record } from "fast-check";
import { createPermitState } from "./create_permit_state.ts";
import { decidePermits } from "./decide_permits.ts";
import type { PermitState, WaitingRequest } from "./permit_state.ts";
import { refillPermits } from "./refill_permits.ts";

const WINDOW_MS = 4_000;

describe("decidePermits", () => {
  const request = (key: string, nowMs: number, change: Partial<WaitingRequest> = {}) => ({
    type: "request" as const,
    request: {
      key,
      priority: 1,
      arrivedAtMs: nowMs,
      waitUntilMs: nowMs,
      patientUntilMs: nowMs,
      leaseUntilMs: nowMs + 1_001,
      ...change,
    },
  });
  const list = (state: PermitState, event: Parameters<typeof decidePermits>[1], nowMs: number) => {
    refillPermits(state, state.perSecond, nowMs);
    return decidePermits(state, event, nowMs).map(({ type, key }) => `${type} ${key}`);
  };
  const waitsUntil = (ms: number) => ({ waitUntilMs: ms, patientUntilMs: ms });

  it("has no permit for a new owner, then one for each interval", () => {
    const state = createPermitState(2, 0);
    expect(list(state, request("a", 0), 0)).to.deep.equal(["refuse a"]);
    expect(list(state, request("b", 499), 499)).to.deep.equal(["refuse b"]);
    expect(list(state, request("c", 500), 500)).to.deep.equal(["grant c"]);
    expect(list(state, request("d", 501), 501)).to.deep.equal(["refuse d"]);
  });

  it("does not save permits up over a pause", () => {
    const state = createPermitState(10, 0);
    const keys = Array.from({ length: 20 }, (_, index) => `k${index}`);
    const granted = keys.filter((key) =>
      list(state, request(key, 60_000), 60_000)[0] === `grant ${key}`
    );
    expect(granted.length).to.equal(5);
  });

  it("grants the most urgent waiting request first, then the oldest", () => {
    const state = createPermitState(2, 0);
    expect(list(state, request("a", 0, waitsUntil(5_000)), 0)).to.deep.equal(["wait a"]);
    expect(list(state, request("b", 1, { ...waitsUntil(5_000), priority: 0 }), 1))
      .to.deep.equal(["wait b"]);
    expect(list(state, request("c", 2, waitsUntil(5_000)), 2)).to.deep.equal(["wait c"]);
    expect(list(state, { type: "tick" }, 500)).to.deep.equal(["grant b"]);
    expect(list(state, { type: "tick" }, 1_000)).to.deep.equal(["grant a"]);
  });

  it("refuses a request as soon as a more urgent one takes its turn", () => {
    const state = createPermitState(2, 0);
    expect(list(state, request("a", 0, waitsUntil(600)), 0)).to.deep.equal(["wait a"]);
    expect(list(state, request("b", 1, { ...waitsUntil(600), priority: 0 }), 1))
      .to.deep.equal(["wait b", "refuse a"]);
  });

  it("lets only the first places wait to their deadline", () => {
    const state = createPermitState(1, 0);
    const change = { waitUntilMs: 500, patientUntilMs: 10_000 };
    const effects = ["a", "b", "c"].map((key) => list(state, request(key, 0, change), 0)[0]);
    expect(effects).to.deep.equal(["wait a", "wait b", "refuse c"]);
  });

  it("forgets a waiting request that is cancelled or not renewed", () => {
    const state = createPermitState(1, 0);
    list(state, request("a", 0, waitsUntil(9_000)), 0);
    list(state, request("b", 0, waitsUntil(9_000)), 0);
    list(state, { type: "cancel", key: "a" }, 10);
    expect(list(state, { type: "tick" }, 1_001)).to.deep.equal([]);
    expect(state.waiting.size).to.equal(0);
  });

  it("tells refused callers different times, each at or after a free permit", () => {
    const state = createPermitState(2, 0);
    const delays = Array.from({ length: 12 }, (_, index) => {
      refillPermits(state, 2, 0);
      const [effect] = decidePermits(state, request(`k${index}`, 0), 0);
      return effect?.type === "refuse" ? effect.retryAfterMs : 0;
    });
    expect(new Set(delays).size).to.equal(delays.length);
    expect(Math.min(...delays)).to.be.at.least(500);
    expect(Math.max(...delays)).to.be.at.most(12 * 500 + 500);
  });

  it("grants in no window more than the allowance, whatever is requested", () => {
    const step = record({
      afterMs: integer({ min: 0, max: 900 }),
      requests: integer({ min: 0, max: 12 }),
      waitMs: constantFrom(0, 300, 5_000),
    });
    assert(
      property(array(step, { maxLength: 60 }), constantFrom(0.2, 2.4, 40), (steps, perSecond) => {
        const state = createPermitState(perSecond, 0);
        const grants: number[] = [];
        let nowMs = 0;
        let count = 0;
        for (const { afterMs, requests, waitMs } of steps) {
          nowMs += afterMs;
          for (let index = 0; index < requests; index++) {
            const event = request(`k${++count}`, nowMs, waitsUntil(nowMs + waitMs));
            const effects = list(state, event, nowMs);
            grants.push(...effects.filter((text) => text.startsWith("grant")).map(() => nowMs));
          }
        }
        for (const start of grants) {
          const inWindow = grants.filter((time) => time >= start && time < start + WINDOW_MS);
          expect(inWindow.length).to.be.at.most(perSecond * WINDOW_MS / 1_000 * 1.5 + 5);
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});
