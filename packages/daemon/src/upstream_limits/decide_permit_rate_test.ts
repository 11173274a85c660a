import { expect } from "chai";
import { array, assert, boolean, constantFrom, integer, property, record } from "fast-check";
import { createPermitState } from "./create_permit_state.ts";
import { decidePermitRate } from "./decide_permit_rate.ts";
import { decidePermits } from "./decide_permits.ts";
import type { PermitState } from "./permit_state.ts";
import { refillPermits } from "./refill_permits.ts";

const WINDOW_MS = 1_000;

describe("decidePermitRate", () => {
  it("asks for no permit at an upstream that names no limit and is warm", () => {
    expect(decidePermitRate(undefined, undefined)).to.equal(undefined);
  });

  it("leaves named limits as they are, with the least rate that shows when they end", () => {
    expect(decidePermitRate(2.4, undefined)).to.deep.equal({ perSecond: 2.4, isCold: false });
    expect(decidePermitRate(0, undefined)).to.deep.equal({ perSecond: 0.2, isCold: false });
  });

  it("takes the smaller of both, or a cold upstream would crash below its named limit", () => {
    expect(decidePermitRate(undefined, 18)).to.deep.equal({ perSecond: 12, isCold: true });
    expect(decidePermitRate(100, 18)).to.deep.equal({ perSecond: 12, isCold: true });
    expect(decidePermitRate(2.4, 18)).to.deep.equal({ perSecond: 2.4, isCold: true });
  });

  const request = (key: string, nowMs: number, waitMs: number) => ({
    type: "request" as const,
    request: {
      key,
      priority: 1,
      arrivedAtMs: nowMs,
      waitUntilMs: nowMs + waitMs,
      patientUntilMs: nowMs + waitMs,
      leaseUntilMs: nowMs + 10_000,
    },
  });
  const handle = (
    state: PermitState,
    event: Parameters<typeof decidePermits>[1],
    rate: number,
    nowMs: number,
  ) => {
    refillPermits(state, rate, nowMs, true);
    return decidePermits(state, event, nowMs).filter(({ type }) => type === "grant").length;
  };

  it("keeps no permit of a cold upstream over a gap in which its owner was frozen", () => {
    const state = createPermitState(12, 0);
    handle(state, { type: "tick" }, 12, 900);
    expect(state.permits).to.equal(1);
    handle(state, { type: "tick" }, 12, 3_000);
    expect(state.permits).to.equal(0);
  });

  it("drops what was kept at a named limit when the upstream becomes cold", () => {
    const state = createPermitState(40, 0);
    refillPermits(state, 40, 900);
    expect(state.permits).to.equal(20);
    refillPermits(state, 12, 901, true);
    expect(state.permits).to.equal(1);
  });

  it("lets two owners grant no more than 1.5 times the rate plus 5 in a second, whatever comes", () => {
    const step = record({
      afterMs: integer({ min: 0, max: 400 }),
      isFirst: boolean(),
      requests: integer({ min: 0, max: 40 }),
      waitMs: constantFrom(0, 300, 5_000),
    });
    assert(
      property(array(step, { maxLength: 60 }), constantFrom(0.5, 2, 18, 26, 100), (steps, cold) => {
        const rate = decidePermitRate(undefined, cold)?.perSecond ?? 0;
        const owners = [createPermitState(rate, 0), createPermitState(rate, 0)] as const;
        const grants: number[] = [];
        let nowMs = 0;
        let count = 0;
        for (const { afterMs, isFirst, requests, waitMs } of steps) {
          nowMs += afterMs;
          for (const owner of owners) {
            grants.push(
              ...Array.from(
                { length: handle(owner, { type: "tick" }, rate, nowMs) },
                () => nowMs,
              ),
            );
          }
          for (let index = 0; index < requests; index++) {
            const owner = owners[isFirst ? 0 : 1];
            const event = request(`k${++count}`, nowMs, waitMs);
            grants.push(
              ...Array.from({ length: handle(owner, event, rate, nowMs) }, () => nowMs),
            );
          }
        }
        for (const start of grants) {
          const inWindow = grants.filter((time) => time >= start && time < start + WINDOW_MS);
          expect(inWindow.length).to.be.at.most(cold * 1.5 + 5);
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});
