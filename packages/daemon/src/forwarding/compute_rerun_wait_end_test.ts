import { expect } from "chai";
import type { Route } from "../routes/mod.ts";
import { computeRerunWaitEnd } from "./compute_rerun_wait_end.ts";
import type { RerunWait } from "./compute_rerun_wait_end.ts";

describe("computeRerunWaitEnd", () => {
  const route: Route = {
    name: "r",
    hostName: "h",
    prefix: "/",
    kind: "stream",
    services: [],
    timeoutMs: 6_000,
    targetMs: 1_504,
    maxAttempts: 2,
    priority: 0,
    isPublic: false,
    isResumable: true,
  };
  const wait: RerunWait = {
    route,
    arrivedAtMs: 1_000,
    deadlineAtMs: 7_000,
    lastSentAtMs: undefined,
  };
  const shortRoute = { ...route, targetMs: 200 };
  // Callers leave after four times the target of 1,504 ms, or after 2 s if that is longer.
  const cases: readonly [string, RerunWait, number][] = [
    ["leaves a part of the caller's patience for prefill", wait, 1_000 + 0.6 * 6_016],
    ["counts from the last event", { ...wait, lastSentAtMs: 2_000 }, 2_000 + 0.6 * 6_016],
    ["waits for two seconds at a short target", { ...wait, route: shortRoute }, 1_000 + 1_200],
    ["ends before the deadline", { ...wait, lastSentAtMs: 6_000 }, 6_970],
  ];
  for (const [title, options, expected] of cases) {
    it(title, () => {
      expect(computeRerunWaitEnd(options)).to.be.closeTo(expected, 0.001);
    });
  }
});
