import { expect } from "chai";
import { applyJoinedRecord } from "./apply_joined_record.ts";
import { applyUpstreamRecord } from "./apply_upstream_record.ts";
import { applyUpstreamRemoval } from "./apply_upstream_removal.ts";
import { UPSTREAM_LIMITS } from "./constants.ts";
import { createUpstreamState } from "./create_upstream_state.ts";
import { expireUpstreams } from "./expire_upstreams.ts";
import { listAbsentUpstreams } from "./list_absent_upstreams.ts";
import { listUsableUpstreams } from "./list_usable_upstreams.ts";
import { markUpstreamUnreachable } from "./mark_upstream_unreachable.ts";
import { markUpstreamLeaving } from "./mark_upstream_leaving.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

const createRecord = (change: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
  id: "u1",
  service: "desk",
  address: "10.0.0.1:80",
  dataCentre: "a",
  slots: 4,
  isLeaving: false,
  slowForMs: 0,
  sequence: 0,
  startedAt: 1,
  ...change,
});

describe("upstream state", () => {
  const createWith = (...records: readonly UpstreamRecord[]) => {
    const state = createUpstreamState();
    records.forEach((record) => applyUpstreamRecord(state, record, 0));
    return state;
  };
  const listIds = (state: ReturnType<typeof createWith>, nowMs = 0) =>
    listUsableUpstreams(state, "desk", nowMs).map(({ record }) => record.id);

  it("learns a joined upstream from another host, but nothing that is older than what it knows", () => {
    const state = createWith(createRecord({ startedAt: 2 }));
    applyUpstreamRecord(state, createRecord({ startedAt: 2, isLeaving: true }), 5);
    applyJoinedRecord(state, createRecord({ startedAt: 2 }), 10, 10);
    applyJoinedRecord(state, createRecord({ startedAt: 1 }), 10, 10);
    expect(listIds(state)).to.deep.equal([]);
    applyJoinedRecord(state, createRecord({ id: "u2" }), 10, 10);
    expect(listIds(state)).to.deep.equal(["u2"]);
    const former = applyJoinedRecord(state, createRecord({ startedAt: 3 }), 10, 10);
    expect(former?.status).to.equal("gone");
    expect(listIds(state)).to.have.members(["u1", "u2"]);
  });

  it("learns from another host that a missing record is back, if that was read later", () => {
    const state = createWith(
      createRecord(),
      createRecord({ id: "u2" }),
      createRecord({ id: "u3" }),
    );
    markUpstreamLeaving(state, "u1", 1, true, 20);
    state.isSettingsServiceDown = true;
    applyUpstreamRemoval(state, "u2", 20);
    for (const id of ["u1", "u2"]) {
      applyJoinedRecord(state, createRecord({ id }), 19, 25);
    }
    expect(listIds(state)).to.deep.equal(["u3"]);
    for (const id of ["u1", "u2"]) {
      applyJoinedRecord(state, createRecord({ id }), 21, 25);
    }
    expect(listIds(state)).to.have.members(["u1", "u2", "u3"]);
  });

  it("misses in a complete list only what was known before the read began", () => {
    const state = createWith(createRecord(), createRecord({ id: "u2" }));
    applyJoinedRecord(state, createRecord({ id: "u3" }), 20, 20);
    expect(listAbsentUpstreams(state, new Set(["u2"]), 10)).to.deep.equal(["u1"]);
  });

  it("excludes an upstream that reports that it drains, and returns it once", () => {
    const state = createWith(createRecord(), createRecord({ id: "u2" }));
    const leaving = createRecord({ isLeaving: true });
    expect(applyUpstreamRecord(state, leaving, 10)?.status).to.equal("leaving");
    expect(applyUpstreamRecord(state, leaving, 20)).to.equal(undefined);
    expect(listIds(state)).to.deep.equal(["u2"]);
  });

  it("ignores ready records of a draining incarnation, but accepts a restart under its id", () => {
    const state = createWith(createRecord());
    applyUpstreamRecord(state, createRecord({ isLeaving: true }), 10);
    applyUpstreamRecord(state, createRecord(), 20);
    expect(listIds(state)).to.deep.equal([]);
    const ended = applyUpstreamRecord(state, createRecord({ startedAt: 2 }), 30);
    expect([ended?.status, ended?.record.startedAt]).to.deep.equal(["gone", 1]);
    expect(listIds(state)).to.deep.equal(["u1"]);
  });

  it("drains an upstream on removal while the settings service is available", () => {
    const state = createWith(createRecord());
    expect(applyUpstreamRemoval(state, "u1", 10)?.status).to.equal("leaving");
    expect(applyUpstreamRemoval(state, "u1", 20)).to.equal(undefined);
    expect(applyUpstreamRemoval(state, "unknown", 20)).to.equal(undefined);
  });

  it("makes an upstream ready again that drained only because its record was missing", () => {
    const state = createWith(createRecord());
    applyUpstreamRemoval(state, "u1", 10);
    expect(listIds(state)).to.deep.equal([]);
    applyUpstreamRecord(state, createRecord(), 20);
    expect(listIds(state)).to.deep.equal(["u1"]);
    applyUpstreamRemoval(state, "u1", 30);
    applyUpstreamRecord(state, createRecord({ isLeaving: true }), 40);
    applyUpstreamRecord(state, createRecord(), 50);
    expect(listIds(state)).to.deep.equal([]);
  });

  it("treats removals as uncertain during the whole outage of the settings service", () => {
    const state = createWith(createRecord());
    state.isSettingsServiceDown = true;
    state.lastOutageAtMs = 100;
    expect(applyUpstreamRemoval(state, "u1", 60_000)).to.equal(undefined);
    expect(expireUpstreams(state, 90_000)).to.deep.equal([]);
    expect(listIds(state)).to.deep.equal(["u1"]);
  });

  describe("around an outage", () => {
    const createLapsed = (...others: readonly UpstreamRecord[]) => {
      const state = createWith(createRecord(), ...others);
      state.lastOutageAtMs = 100;
      expect(applyUpstreamRemoval(state, "u1", 200)).to.equal(undefined);
      return state;
    };

    it("uses a removed upstream only when no other is left", () => {
      expect(listIds(createLapsed())).to.deep.equal(["u1"]);
      expect(listIds(createLapsed(createRecord({ id: "u2" })))).to.deep.equal(["u2"]);
    });

    it("makes the upstream ready again when its record returns", () => {
      const state = createLapsed();
      applyUpstreamRecord(state, createRecord(), 900);
      expect(expireUpstreams(state, 100 + UPSTREAM_LIMITS.lapseGraceMs * 2)).to.deep.equal([]);
      expect(state.upstreams.get("u1")?.status).to.equal("ready");
    });

    it("drains the upstream when its record does not return", () => {
      const state = createLapsed();
      expect(expireUpstreams(state, 200 + UPSTREAM_LIMITS.lapseGraceMs)).to.deep.equal([]);
      const [drainingUpstream] = expireUpstreams(state, 201 + UPSTREAM_LIMITS.lapseGraceMs);
      expect(drainingUpstream?.status).to.equal("leaving");
    });

    it("keeps the upstream while the outage lasts", () => {
      const state = createLapsed();
      state.lastOutageAtMs = 5_000;
      expect(expireUpstreams(state, 5_100)).to.deep.equal([]);
    });
  });

  it("applies a report of another host only to the incarnation that it names", () => {
    const state = createWith(createRecord({ startedAt: 7 }));
    expect(markUpstreamLeaving(state, "u1", 6, false, 10)).to.equal(undefined);
    expect(markUpstreamLeaving(state, "u1", 7, false, 10)?.status).to.equal("leaving");
  });

  it("excludes an upstream that refused a connection while another is left", () => {
    const state = createWith(createRecord(), createRecord({ id: "u2" }));
    markUpstreamUnreachable(state, "u1", 100);
    expect(listIds(state, 101)).to.deep.equal(["u2"]);
    markUpstreamUnreachable(state, "u2", 100);
    expect(listIds(state, 101)).to.deep.equal(["u1", "u2"]);
    expect(listIds(state, 101 + UPSTREAM_LIMITS.unreachableMs)).to.deep.equal(["u1", "u2"]);
    expireUpstreams(state, 101 + UPSTREAM_LIMITS.unreachableMs);
    expect(state.unreachable.size).to.equal(0);
  });

  it("deletes removed upstreams after the retention time", () => {
    const state = createWith(createRecord());
    applyUpstreamRemoval(state, "u1", 10);
    expireUpstreams(state, 11 + UPSTREAM_LIMITS.retentionMs);
    expect(state.upstreams.size).to.equal(0);
  });
});
