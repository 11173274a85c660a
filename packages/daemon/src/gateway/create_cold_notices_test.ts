import type { EventName, Logger } from "@crocussail/protocol";
import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { applyUpstreamRecord, createUpstreamState } from "../upstreams/mod.ts";
import type { Upstream, UpstreamRecord } from "../upstreams/mod.ts";
import { createColdNotices } from "./create_cold_notices.ts";

const createRecord = (change: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
  id: "u1",
  service: "desk",
  address: "10.0.0.1:80",
  dataCentre: "a",
  slots: 4,
  isLeaving: false,
  slowForMs: 0,
  sequence: 7,
  startedAt: 1,
  ...change,
});

const createWith = (coldPerSecond = 18) => {
  const clock = createManualClock();
  const state = createUpstreamState();
  const events: EventName[] = [];
  const logger: Logger = { writeEvent: (name) => events.push(name) };
  const counts = { urgentReports: 0 };
  const notices = createColdNotices({
    clock,
    logger,
    state,
    getService: (name) => ({
      name,
      engine: undefined,
      maxConnections: 10,
      coldPerSecond,
      coldStartMs: 1_000,
    }),
    hosts: {
      scheduleUrgentReport: () => {
        counts.urgentReports++;
      },
    },
  });
  const read = (change: Partial<UpstreamRecord> = {}) => {
    const record = createRecord(change);
    notices.observeRecord(
      record,
      () => applyUpstreamRecord(state, record, clock.readMonotonicMs()),
    );
  };
  const getUpstream = () => state.upstreams.get("u1") as Upstream;
  return { clock, state, events, counts, notices, read, getUpstream };
};

describe("notices of cold upstreams", () => {
  it("say nothing of warm upstreams, so that a calm fleet sends no more than before", () => {
    const { notices, read, counts } = createWith();
    read();
    read({ sequence: 8 });
    expect(notices.getCold("u1")).to.equal(undefined);
    expect(notices.listReported(true)).to.deep.equal([]);
    expect(counts.urgentReports).to.equal(0);
  });

  it("say at once that a known upstream has become cold, which other hosts cannot infer", () => {
    const { notices, read, counts, events } = createWith();
    read();
    read({ sequence: 8, slowForMs: 800 });
    expect(notices.getCold("u1")).to.deep.include({ startedAt: 1, perSecond: 18 });
    expect(notices.listReported(true)).to.deep.equal([["u1", 1, 800]]);
    expect(counts.urgentReports).to.equal(1);
    expect(events).to.deep.equal(["upstreamCold"]);
  });

  it("hurry no report for a new start, which each host takes for cold by itself", () => {
    const { notices, read, counts } = createWith();
    read({ sequence: 1, slowForMs: 1_000 });
    read({ startedAt: 2, sequence: 1, slowForMs: 1_000 });
    expect(notices.listReported(true)).to.deep.equal([["u1", 2, 1_000]]);
    expect(counts.urgentReports).to.equal(0);
  });

  it("pass on records only from a host that reads for the fleet, responses from any", () => {
    const { notices, read, getUpstream } = createWith();
    read();
    read({ sequence: 8, slowForMs: 800 });
    expect(notices.listReported(false)).to.deep.equal([]);
    notices.recordSignal(getUpstream(), 900);
    expect(notices.listReported(false)).to.deep.equal([["u1", 1, 900]]);
  });

  it("never pass on what another host has reported, or its end would grow on its way", () => {
    const { clock, notices, read } = createWith();
    read();
    notices.acceptReport({ host: "h2", cold: [["u1", 1, 800]] }, 100);
    expect(notices.getCold("u1")?.untilMs).to.equal(clock.readMonotonicMs() + 700);
    expect(notices.listReported(true)).to.deep.equal([]);
  });

  it("ignore reports of another start or an unknown upstream", () => {
    const { notices, read } = createWith();
    read();
    notices.acceptReport({ host: "h2", cold: [["u1", 2, 800], ["u9", 1, 800]] }, 0);
    expect(notices.getCold("u1")).to.equal(undefined);
    expect(notices.listCold()).to.deep.equal([]);
  });

  it("end with the cold time", () => {
    const { clock, notices, read } = createWith();
    read();
    read({ sequence: 8, slowForMs: 800 });
    clock.advance(801);
    expect(notices.getCold("u1")).to.equal(undefined);
    expect(notices.listReported(true)).to.deep.equal([]);
  });

  it("do not exist for a service without a cold rate", () => {
    const { notices, read, getUpstream, counts, events } = createWith(0);
    read({ sequence: 1, slowForMs: 800 });
    notices.recordSignal(getUpstream(), 900);
    notices.acceptReport({ host: "h2", cold: [["u1", 1, 800]] }, 0);
    expect(notices.getCold("u1")).to.equal(undefined);
    expect(notices.listReported(true)).to.deep.equal([]);
    expect(counts.urgentReports).to.equal(0);
    expect(events).to.deep.equal([]);
  });

  it("include the upstreams of a data centre whose evacuation has ended", () => {
    const { clock, notices, read } = createWith();
    read();
    notices.recordReturn("b");
    expect(notices.listCold()).to.deep.equal([]);
    notices.recordReturn("a");
    expect(notices.listCold().map(({ id }) => id)).to.deep.equal(["u1"]);
    clock.advance(1_000);
    expect(notices.listCold()).to.deep.equal([]);
  });
});
