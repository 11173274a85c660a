import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import type { HostReport } from "../fleet_hosts/mod.ts";
import { createUpstreamReading } from "./create_upstream_reading.ts";

const DRAIN_MS = 2_000;
const HOSTS = 195;
const REPORT_MS = 975;
const TRANSFER_MS = 120;
const STEP_MS = 25;

/** Plays the reads and reports of a fleet; `isCut` hosts neither read nor report. */
function createReadingFleet() {
  const clock = createManualClock();
  const cut = new Set<number>();
  const reads = new Map<number, number>();
  const lastKnownMs = new Map<number, number>();
  const hosts = Array.from(
    { length: HOSTS },
    (_, index) =>
      createUpstreamReading({
        clock,
        drainMs: DRAIN_MS,
        getReaderRank: () => index < 2 ? index : -1,
        isOutageRecent: () => false,
        areSettingsRecent: () => true,
      }),
  );
  const report = (from: number) => {
    const upstreamsAgeMs = hosts[from]?.computeReportedAge() ?? null;
    const received = { report: { upstreamsAgeMs } as HostReport, ageMs: TRANSFER_MS };
    const readAtMs = clock.readMonotonicMs() - (upstreamsAgeMs ?? 0);
    clock.startTimer(TRANSFER_MS, () =>
      hosts.forEach((host, index) => {
        if (upstreamsAgeMs !== null && index !== from && !cut.has(index)) {
          host.acceptReport(received);
          lastKnownMs.set(index, Math.max(lastKnownMs.get(index) ?? 0, readAtMs));
        }
      }));
  };
  const run = (ms: number, check: () => void = () => {}) => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      const nowMs = clock.readMonotonicMs();
      hosts.forEach((host, index) => {
        if (!cut.has(index) && host.computeReadDelay() <= 0) {
          host.recordRead(nowMs);
          reads.set(index, (reads.get(index) ?? 0) + 1);
          lastKnownMs.set(index, nowMs);
        }
        if (index < 2 && !cut.has(index) && (host.isReportDue() || nowMs % REPORT_MS < STEP_MS)) {
          report(index);
        }
      });
      clock.advance(STEP_MS);
      check();
    }
  };
  const computeMaxAge = () =>
    Math.max(
      ...hosts.map((_, index) => index).filter((index) => !cut.has(index)).map((index) =>
        clock.readMonotonicMs() - (lastKnownMs.get(index) ?? 0)
      ),
    );
  return { clock, hosts, cut, reads, run, computeMaxAge };
}

describe("reading upstreams in a fleet of 195 hosts", () => {
  it("leaves the reads to two hosts, and every host knows all changes in half the drain time", () => {
    const { reads, run, computeMaxAge } = createReadingFleet();
    run(3_000);
    reads.clear();
    run(30_000, () => expect(computeMaxAge()).to.be.at.most(DRAIN_MS / 2 + STEP_MS));
    expect([...reads.keys()]).to.have.members([0, 1]);
    expect(reads.get(0)).to.be.within(200, 320);
    expect(reads.get(1)).to.be.within(40, 80);
  });

  it("leaves the reads to the second host when the first one fails to read", () => {
    const { cut, reads, run, computeMaxAge } = createReadingFleet();
    run(3_000);
    cut.add(0);
    run(1_000);
    reads.clear();
    run(10_000, () => expect(computeMaxAge()).to.be.at.most(DRAIN_MS / 2 + STEP_MS));
    expect([...reads.keys()]).to.deep.equal([1]);
    expect(reads.get(1)).to.be.within(70, 110);
  });

  it("reads on every host, in time, when both readers are lost", () => {
    const { cut, reads, run, computeMaxAge } = createReadingFleet();
    run(5_000);
    reads.clear();
    cut.add(0).add(1);
    run(10_000, () => expect(computeMaxAge()).to.be.at.most(DRAIN_MS / 2 + STEP_MS));
    expect(reads.size).to.equal(HOSTS - 2);
  });

  it("reads again on a host that was cut off for longer than reports cover", () => {
    const { hosts, cut, reads, run } = createReadingFleet();
    run(5_000);
    cut.add(100);
    run(3_500);
    cut.delete(100);
    reads.clear();
    expect(hosts[100]?.isConfirmed()).to.equal(false);
    run(STEP_MS);
    expect(reads.get(100)).to.equal(1);
  });

  it("does not accept a report that follows a longer gap than reports cover", () => {
    const clock = createManualClock();
    const host = createUpstreamReading({
      clock,
      drainMs: DRAIN_MS,
      getReaderRank: () => -1,
      isOutageRecent: () => false,
      areSettingsRecent: () => true,
    });
    host.recordRead(0);
    clock.advance(2_400);
    host.acceptReport({ report: { upstreamsAgeMs: 0 } as HostReport, ageMs: 0 });
    expect(host.computeReadDelay()).to.equal(0);
  });

  it("reads on every host while records may be missing that return soon", () => {
    const clock = createManualClock();
    let isOutageRecent = true;
    const host = createUpstreamReading({
      clock,
      drainMs: DRAIN_MS,
      getReaderRank: () => -1,
      isOutageRecent: () => isOutageRecent,
      areSettingsRecent: () => true,
    });
    host.recordRead(0);
    clock.advance(DRAIN_MS / 2);
    host.acceptReport({ report: { upstreamsAgeMs: 0 } as HostReport, ageMs: 0 });
    expect(host.computeReadDelay()).to.equal(0);
    isOutageRecent = false;
    expect(host.computeReadDelay()).to.be.above(0);
  });

  it("does not read for the fleet before it can know the other hosts", () => {
    const clock = createManualClock();
    const host = createUpstreamReading({
      clock,
      drainMs: DRAIN_MS,
      getReaderRank: () => 0,
      isOutageRecent: () => false,
      areSettingsRecent: () => true,
    });
    host.recordRead(0);
    clock.advance(400);
    expect(host.computeReadDelay()).to.be.above(500);
    expect(host.computeReportedAge()).to.equal(null);
    clock.advance(400);
    expect(host.computeReadDelay()).to.equal(0);
    expect(host.computeReportedAge()).to.equal(800);
  });

  it("confirms what others know only while the settings of the leading reader are recent", () => {
    const clock = createManualClock();
    let rank = 0;
    let areSettingsRecent = true;
    const host = createUpstreamReading({
      clock,
      drainMs: DRAIN_MS,
      getReaderRank: () => rank,
      isOutageRecent: () => false,
      areSettingsRecent: () => areSettingsRecent,
    });
    clock.advance(3_000);
    host.recordRead(3_000);
    expect(host.computeReportedAge()).to.equal(0);
    areSettingsRecent = false;
    expect(host.computeReportedAge()).to.equal(null);
    rank = 1;
    host.acceptReport({ report: { upstreamsAgeMs: 0 } as HostReport, ageMs: 0 });
    expect([host.isLeadingReader(), host.computeReportedAge()]).to.deep.equal([false, 0]);
    clock.advance(DRAIN_MS / 2);
    expect([host.isLeadingReader(), host.computeReportedAge()]).to.deep.equal([true, null]);
  });
});
