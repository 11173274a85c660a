import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { HOST_LIMITS } from "./constants.ts";
import { createHostNotices } from "./create_host_notices.ts";
import { decodeHostDatagram } from "./decode_host_datagram.ts";

const TTL_MS = 60_000;

describe("host notices", () => {
  const createHost = (host: string) => {
    const clock = createManualClock();
    const received: unknown[] = [];
    let scheduledCount = 0;
    const notices = createHostNotices({
      clock,
      host,
      scheduleUrgentReport: () => scheduledCount++,
    });
    notices.subscribeNotices("t", ({ origin, payload }) => received.push([origin, payload]));
    return { clock, notices, received, countScheduled: () => scheduledCount };
  };
  const createNotice = (key: string) => ({ topic: "t", key, payload: { key }, ttlMs: TTL_MS });

  it("are delivered locally at once, and once to another host although they are reported repeatedly", () => {
    const first = createHost("h1");
    const second = createHost("h2");
    first.notices.publishNotice(createNotice("k"));
    expect(first.received).to.deep.equal([["h1", { key: "k" }]]);
    expect(first.countScheduled()).to.equal(1);
    for (let report = 0; report < 3; report++) {
      second.notices.acceptNotices({ host: "h1", notices: first.notices.listReported() }, 0);
    }
    expect(second.received).to.deep.equal([["h1", { key: "k" }]]);
  });

  it("are distributed over several reports when one report can't contain them all", () => {
    const first = createHost("h1");
    const second = createHost("h2");
    const keys = Array.from(
      { length: 3 * HOST_LIMITS.noticesPerReport },
      (_, index) => `k${index}`,
    );
    keys.forEach((key) => first.notices.publishNotice(createNotice(key)));
    for (let report = 0; report < 3; report++) {
      const notices = first.notices.listReported();
      expect(notices.length).to.equal(HOST_LIMITS.noticesPerReport);
      second.notices.acceptNotices({ host: "h1", notices }, 0);
    }
    expect(second.received.length).to.equal(keys.length);
  });

  it("are reported for a limited time, and again for a host that joins, until they expire", () => {
    const { clock, notices } = createHost("h1");
    notices.publishNotice(createNotice("k"));
    clock.advance(HOST_LIMITS.noticeReportMs);
    expect(notices.listReported()).to.deep.equal([]);
    notices.renewNotices();
    expect(notices.listReported().map(([, key, ttlMs]) => [key, ttlMs]))
      .to.deep.equal([["k", TTL_MS - HOST_LIMITS.noticeReportMs]]);
    clock.advance(TTL_MS - HOST_LIMITS.noticeReportMs);
    notices.renewNotices();
    expect(notices.listReported()).to.deep.equal([]);
  });

  it("are limited in number, both those of this host and the identities of received ones", () => {
    const first = createHost("h1");
    const second = createHost("h2");
    for (let index = 0; index < 2 * HOST_LIMITS.maxKnownNotices; index++) {
      second.notices.acceptNotices({ host: "h1", notices: [["t", `k${index}`, TTL_MS, index]] }, 0);
      first.notices.publishNotice(createNotice(`k${index}`));
    }
    const oldest = `k${2 * HOST_LIMITS.maxKnownNotices - HOST_LIMITS.maxLocalNotices}`;
    expect(first.notices.listReported()[0]?.[1]).to.equal(oldest);
    second.received.length = 0;
    const newest = `k${2 * HOST_LIMITS.maxKnownNotices - 1}`;
    second.notices.acceptNotices({ host: "h1", notices: [["t", newest, TTL_MS, 0]] }, 0);
    expect(second.received).to.deep.equal([]);
    second.notices.acceptNotices({ host: "h1", notices: [["t", "k0", TTL_MS, 0]] }, 0);
    expect(second.received).to.deep.equal([["h1", 0]]);
  });

  it("are not decoded from a datagram without a valid signature", () => {
    expect(decodeHostDatagram(Buffer.from("notices"), "0".repeat(32))).to.equal(undefined);
  });
});
