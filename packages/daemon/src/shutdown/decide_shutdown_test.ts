import { expect } from "chai";
import { SHUTDOWN_LIMITS } from "./constants.ts";
import { decideShutdown } from "./decide_shutdown.ts";
import type { ShutdownState } from "./shutdown_state.ts";

const TTL_MS = 30_000;
const SIGNAL = { type: "signal", entryTtlMs: TTL_MS, hosts: 1 } as const;
const CLOSE_AT_MS = TTL_MS + SHUTDOWN_LIMITS.spreadRoundMs;

const makeState = (): ShutdownState => ({
  phase: "serving",
  startedAtMs: 0,
  closeAtMs: 0,
  nextReportMs: 0,
  repeats: 0,
});
const tickAt = (state: ShutdownState, nowMs: number, running: number) =>
  decideShutdown(state, { type: "tick", running }, nowMs);

describe("a graceful shutdown", () => {
  it("keeps the listener open until the last entry response naming this host has expired", () => {
    const state = makeState();
    expect(decideShutdown(state, SIGNAL, 0)).to.deep.equal(["announce"]);
    expect(tickAt(state, CLOSE_AT_MS - 1, 0)).to.deep.equal([]);
    expect(tickAt(state, CLOSE_AT_MS, 0)).to.deep.equal(["closeListener"]);
  });

  it("waits longer in a larger fleet, where the draining takes longer to reach every host", () => {
    const state = makeState();
    decideShutdown(state, { ...SIGNAL, hosts: 400 }, 0);
    expect(tickAt(state, CLOSE_AT_MS, 0)).to.deep.equal([]);
    // 9 rounds: log2 of 401 (the 400 hosts and one), rounded up.
    expect(state.closeAtMs).to.equal(TTL_MS + 9 * SHUTDOWN_LIMITS.spreadRoundMs);
  });

  it("finishes only when no request is in flight, however long that takes", () => {
    const state = makeState();
    decideShutdown(state, SIGNAL, 0);
    tickAt(state, CLOSE_AT_MS, 1);
    expect(tickAt(state, CLOSE_AT_MS + 3_600_000, 1)).to.deep.equal(["reportRunning"]);
    expect(tickAt(state, CLOSE_AT_MS + 3_600_001, 0)).to.deep.equal(["finish"]);
    expect(tickAt(state, CLOSE_AT_MS + 3_600_002, 0)).to.deep.equal([]);
  });

  it("reports requests that are still in flight at intervals", () => {
    const state = makeState();
    decideShutdown(state, SIGNAL, 0);
    tickAt(state, CLOSE_AT_MS, 2);
    const intervalMs = SHUTDOWN_LIMITS.reportIntervalMs;
    expect(tickAt(state, CLOSE_AT_MS + intervalMs - 1, 2)).to.deep.equal([]);
    expect(tickAt(state, CLOSE_AT_MS + intervalMs, 2)).to.deep.equal(["reportRunning"]);
    expect(tickAt(state, CLOSE_AT_MS + intervalMs + 1, 2)).to.deep.equal([]);
  });

  it("reports a repeated signal and changes nothing else", () => {
    const state = makeState();
    decideShutdown(state, SIGNAL, 0);
    const closeAtMs = state.closeAtMs;
    expect(decideShutdown(state, SIGNAL, 10)).to.deep.equal(["reportRepeat"]);
    expect(state).to.include({ phase: "announced", closeAtMs, repeats: 1 });
  });
});
