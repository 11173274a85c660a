import { expect } from "chai";
import type { UpstreamExchangeRequest } from "../adapters/upstream_exchange.ts";
import { applyUpstreamRecord, createUpstreamState } from "../upstreams/mod.ts";
import { createEvacuationGuard } from "./create_evacuation_guard.ts";

const LEARNT_AT_MS = 1_000;
const ADDRESSES = { a: "10.0.0.1:80", b: "10.0.0.2:80" } as const;

describe("createEvacuationGuard", () => {
  const openAt = (
    nowMs: number,
    request: Pick<UpstreamExchangeRequest, "address" | "upstreamId">,
  ): string => {
    const state = createUpstreamState();
    for (const [dataCentre, address] of Object.entries(ADDRESSES)) {
      applyUpstreamRecord(state, {
        ...{ id: `u-${dataCentre}`, service: "desk", address, dataCentre, slots: 4 },
        ...{ isLeaving: false, slowForMs: 0, sequence: 0, startedAt: 1 },
      }, 0);
    }
    state.evacuated.set("a", LEARNT_AT_MS);
    let end = "none";
    const open = createEvacuationGuard({
      state,
      clock: {
        readMonotonicMs: () => nowMs,
        startTimer: (_delayMs, callback) => {
          callback();
          return { cancel: () => {} };
        },
      },
      logger: { writeEvent: () => {} },
      openExchange: () => {
        end = "sent";
        return { abort: () => {}, hasSent: () => true };
      },
    });
    const exchange = open({
      ...{ method: "POST", target: "/x", headers: [], body: undefined, connectTimeoutMs: 1 },
      ...request,
    }, {
      receiveHead: () => {},
      receiveData: () => {},
      end: () => {},
      fail: (isSent) => {
        end = isSent ? "failed" : "not sent";
      },
    });
    expect(exchange.hasSent()).to.equal(end === "sent");
    return end;
  };

  // Guards against a request whose upstream was chosen before the evacuation, with a permit that
  // came after it.
  it("sends no request to an evacuated upstream from the first moment on", () => {
    const request = { address: ADDRESSES.a, upstreamId: "u-a" };
    expect(openAt(LEARNT_AT_MS, request)).to.equal("not sent");
    expect(openAt(LEARNT_AT_MS + 60_000, request)).to.equal("not sent");
  });

  it("sends requests to other upstreams and to other hosts", () => {
    expect(openAt(LEARNT_AT_MS, { address: ADDRESSES.b, upstreamId: "u-b" })).to.equal("sent");
    expect(openAt(LEARNT_AT_MS, { address: "10.0.0.9:7200" })).to.equal("sent");
  });

  // Guards against generations that cannot leave, and against calls after the end of the time.
  it("sends calls to copy for 4.5 s", () => {
    const call = { address: ADDRESSES.a };
    expect(openAt(LEARNT_AT_MS + 4_400, call)).to.equal("sent");
    expect(openAt(LEARNT_AT_MS + 4_500, call)).to.equal("not sent");
  });
});
