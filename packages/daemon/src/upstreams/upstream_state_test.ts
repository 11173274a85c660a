import { expect } from "chai";
import { applyJoinedRecord } from "./apply_joined_record.ts";
import { applyUpstreamRecord } from "./apply_upstream_record.ts";
import { applyUpstreamRemoval } from "./apply_upstream_removal.ts";
import { UPSTREAM_LIMITS } from "./constants.ts";
import { createUpstreamState } from "./create_upstream_state.ts";
import { expireUpstreams } from "./expire_upstreams.ts";
import { getColdUntil } from "./get_cold_until.ts";
import { listAbsentUpstreams } from "./list_absent_upstreams.ts";
import { listUsableUpstreams } from "./list_usable_upstreams.ts";
import { markDataCentreCold } from "./mark_data_centre_cold.ts";
import { markUpstreamCold } from "./mark_upstream_cold.ts";
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

describe("cold time of an upstream", () => {
  const COLD_START_MS = 1_000;
  const createWith = (change: Partial<UpstreamRecord>, nowMs: number) => {
    const state = createUpstreamState();
    applyUpstreamRecord(state, createRecord(change), nowMs);
    return state;
  };
  const getEnd = (state: ReturnType<typeof createUpstreamState>) => {
    const upstream = state.upstreams.get("u1");
    return upstream === undefined ? undefined : getColdUntil(upstream, COLD_START_MS);
  };

  it("is the cold start after this host first saw a start, which may be in no record yet", () => {
    expect(getEnd(createWith({ sequence: 1 }, 50))).to.equal(1_050);
    expect(getEnd(createWith({ sequence: 0 }, 50))).to.equal(1_050);
    expect(getEnd(createWith({ sequence: 1, slowForMs: 1_400 }, 50))).to.equal(1_450);
  });

  it("does not begin when a host that has just started reads an upstream that runs for long", () => {
    expect(getEnd(createWith({ sequence: 7 }, 50))).to.equal(Number.NEGATIVE_INFINITY);
  });

  it("begins again by a later record of the same start, as an upstream may become cold anew", () => {
    const state = createWith({ sequence: 7 }, 0);
    applyUpstreamRecord(state, createRecord({ sequence: 8, slowForMs: 900 }), 5_000);
    expect(getEnd(state)).to.equal(5_900);
  });

  it("is not prolonged by a second reading of the same record, whose time left is that of its write", () => {
    const state = createWith({ sequence: 7, slowForMs: 900 }, 5_000);
    const first = getEnd(state);
    applyUpstreamRecord(state, createRecord({ sequence: 7, slowForMs: 900 }), 8_000);
    expect(getEnd(state)).to.equal(first);
  });

  it("is not shortened by a record that says less, as the later end counts", () => {
    const state = createWith({ sequence: 7, slowForMs: 900 }, 5_000);
    applyUpstreamRecord(state, createRecord({ sequence: 8, slowForMs: 10 }), 5_100);
    expect(getEnd(state)).to.equal(6_000);
  });

  it("starts anew with a later incarnation, and ends with the former one", () => {
    const state = createWith({ sequence: 7, slowForMs: 60_000 }, 0);
    applyUpstreamRecord(state, createRecord({ startedAt: 2, sequence: 1 }), 500);
    expect(getEnd(state)).to.equal(1_500);
  });

  it("is kept while an upstream leaves, as its running requests still need calls", () => {
    const state = createWith({ sequence: 7, slowForMs: 900 }, 0);
    applyUpstreamRecord(state, createRecord({ sequence: 8, isLeaving: true }), 100);
    expect(getEnd(state)).to.equal(1_000);
  });

  it("follows what another host reports of this start only, and never to an earlier end", () => {
    const state = createWith({ sequence: 7 }, 0);
    markUpstreamCold(state, { id: "u1", startedAt: 2 }, 9_000);
    expect(getEnd(state)).to.equal(Number.NEGATIVE_INFINITY);
    markUpstreamCold(state, { id: "u1", startedAt: 1 }, 4_000);
    markUpstreamCold(state, { id: "u1", startedAt: 1 }, 3_000);
    markUpstreamCold(state, { id: "u9", startedAt: 1 }, 3_000);
    expect(getEnd(state)).to.equal(4_000);
  });

  it("covers all upstreams of a data centre whose evacuation is withdrawn, and no others", () => {
    const state = createWith({ sequence: 7 }, 0);
    applyUpstreamRecord(state, createRecord({ id: "u2", dataCentre: "b", sequence: 7 }), 0);
    markDataCentreCold(state, "a", () => 8_000);
    expect(getEnd(state)).to.equal(8_000);
    expect(state.upstreams.get("u2")?.coldUntilMs).to.equal(Number.NEGATIVE_INFINITY);
  });
});
