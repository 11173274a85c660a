import { expect } from "chai";
import { UPSTREAM_LIMITS } from "./constants.ts";
import { isRestoredRecord } from "./is_restored_record.ts";
import type { Upstream } from "./upstream_state.ts";

const RECORD = {
  id: "u1",
  service: "desk",
  address: "10.0.0.1:80",
  dataCentre: "a",
  slots: 4,
  isLeaving: false,
  slowForMs: 0,
  startedAt: 2,
  sequence: 5,
};
const RESTORED_AT_MS = 10_000;

describe("isRestoredRecord", () => {
  const known: Upstream = {
    record: RECORD,
    status: "leaving",
    sinceMs: RESTORED_AT_MS - 1,
    isAbsent: true,
    slowUntilMs: 0,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    startSeenMs: Number.NEGATIVE_INFINITY,
  };
  const check = (
    change: Partial<Upstream>,
    record: Partial<typeof RECORD>,
    nowMs = RESTORED_AT_MS + 1,
  ) =>
    isRestoredRecord(
      { restoredAtMs: RESTORED_AT_MS },
      { ...known, ...change },
      { ...RECORD, ...record },
      nowMs,
    );

  it("rejects what an upstream wrote before it left, and accepts what it writes later", () => {
    expect(check({}, {})).to.equal(true);
    expect(check({}, { sequence: 4 })).to.equal(true);
    expect(check({}, { sequence: 6 })).to.equal(false);
  });

  it("rejects an earlier incarnation, and accepts a later one", () => {
    expect(check({ status: "ready" }, { startedAt: 1, sequence: 9 })).to.equal(true);
    expect(check({}, { startedAt: 3, sequence: 1 })).to.equal(false);
  });

  it("accepts the record of an upstream that is in use, and of an unknown one", () => {
    expect(check({ status: "ready" }, {})).to.equal(false);
    expect(check({ status: "lapsed" }, {})).to.equal(false);
    expect(isRestoredRecord({ restoredAtMs: RESTORED_AT_MS }, undefined, RECORD, RESTORED_AT_MS))
      .to.equal(false);
  });

  it("rejects nothing once restored records have expired, or what left after the restore", () => {
    expect(check({}, {}, RESTORED_AT_MS + UPSTREAM_LIMITS.restoreGraceMs + 1)).to.equal(false);
    expect(check({ sinceMs: RESTORED_AT_MS }, {})).to.equal(false);
  });
});
