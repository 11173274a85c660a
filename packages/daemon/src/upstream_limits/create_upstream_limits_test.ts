import type { Logger, Metrics } from "@crocussail/protocol";
import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { createTestFleet } from "../fleet_hosts/mod.ts";
import { createUpstreamLimits } from "./create_upstream_limits.ts";
import type { UpstreamLimits } from "./create_upstream_limits.ts";

const LOGGER: Logger = { writeEvent: () => {} };
const METRICS: Metrics = { increment: () => {}, gauge: () => {}, distribution: () => {} };
const UPSTREAM = { id: "desk-1", startedAt: 1 };
const ANSWER_MS = 20;
const STEP_MS = 10;
const WINDOW_MS = 4_000;
/** What the deployment's rules allow in a window: a factor on the limit, and requests beyond it. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
/** Time after a host has been told of a limit from which its requests count. */
const TOLD_MS = 500;
const USED_SHARE = 0.75;

interface Arrival {
  readonly atMs: number;
  readonly host: number;
}

interface LoadOptions {
  readonly seconds: number;
  readonly perSecond: number;
  readonly chooseHost: (nowMs: number) => number;
}

/** A fleet of hosts in front of one upstream that names a limit in each of its responses. */
async function createLimitedFleet(
  options: { hosts: number; limit: number; lossRate?: number; discoveryMs?: number },
) {
  const limitsByHost = new Map<number, UpstreamLimits>();
  const toldMs = new Map<number, number>();
  const arrivals: Arrival[] = [];
  let limit: number | undefined = options.limit;
  const fleet = await createTestFleet({
    ...options,
    dataCentres: options.hosts > 20 ? 4 : 2,
    listLimits: (index) => limitsByHost.get(index)?.listReported() ?? [],
    receiveReport: (index, { report, ageMs }) =>
      limitsByHost.get(index)?.acceptReport(report, ageMs),
  });
  const { clock } = fleet;
  const startLimits = (index: number) => {
    const limits = createUpstreamLimits({
      clock: fleet.createHostClock(index),
      random: createSeededRandom(index),
      logger: LOGGER,
      metrics: METRICS,
      localHost: `h${index}`,
      incarnation: `${index}-${clock.readMonotonicMs()}`,
      hosts: fleet.hosts[index] as NonNullable<typeof fleet.hosts[number]>,
      getCold: () => undefined,
      listCold: () => [],
      isLeaving: () => false,
    });
    limitsByHost.set(index, limits);
    toldMs.delete(index);
  };
  fleet.hosts.forEach((_host, index) => startLimits(index));
  const restart = async (index: number) => {
    fleet.hosts[index]?.stop();
    limitsByHost.get(index)?.stop();
    const started = fleet.starts[index]?.(`i${clock.readMonotonicMs()}`);
    if (started !== undefined) {
      fleet.hosts[index] = started;
      startLimits(index);
      await started.start();
    }
  };
  const sendRequest = (host: number, limits: UpstreamLimits) => {
    const sentAtMs = clock.readMonotonicMs();
    const named = limit;
    arrivals.push({ atMs: sentAtMs, host });
    clock.startTimer(ANSWER_MS, () => {
      const receivedAtMs = clock.readMonotonicMs();
      toldMs.set(host, toldMs.get(host) ?? receivedAtMs);
      limits.recordObservation(UPSTREAM, { perSecond: named, sentAtMs, receivedAtMs });
    });
  };
  const submit = (host: number) => {
    const limits = limitsByHost.get(host);
    if (limits === undefined || fleet.frozen.has(host)) {
      return;
    }
    if (limits.getLimit(UPSTREAM) === undefined) {
      sendRequest(host, limits);
      return;
    }
    limits.requestPermit(UPSTREAM, { priority: 1, waitMs: 600, patientMs: 600 }, (result) => {
      if (result.type === "granted") {
        sendRequest(host, limits);
      }
    });
  };
  const runLoad = async ({ seconds, perSecond, chooseHost }: LoadOptions) => {
    const startMs = clock.readMonotonicMs();
    let sent = 0;
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
      for (; sent < perSecond * elapsedMs / 1_000; sent++) {
        submit(chooseHost(clock.readMonotonicMs()));
      }
      await fleet.run(STEP_MS);
      if (elapsedMs % 100 === 0) {
        limitsByHost.forEach((limits, index) => {
          if (!fleet.frozen.has(index)) {
            limits.tick(() => true);
          }
        });
      }
    }
    return arrivals.filter(({ atMs }) => atMs >= startMs).length;
  };
  /** Expects that hosts that had been told sent no more than the rules allow in any window. */
  const expectLimitKept = (excused: ReadonlySet<number> = new Set()) => {
    const told = arrivals.filter(({ atMs, host }) =>
      !excused.has(host) && atMs >= (toldMs.get(host) ?? Infinity) + TOLD_MS
    ).map(({ atMs }) => atMs);
    const largest = Math.max(
      0,
      ...told.map((start) =>
        told.filter((time) => time >= start && time < start + WINDOW_MS).length
      ),
    );
    const allowed = ALLOWED_FACTOR * options.limit * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
    expect(largest).to.be.at.most(allowed);
  };
  const findOwner = () => {
    const owners = [...limitsByHost].filter(([, limits]) => limits.listReported().length > 0);
    return owners[0]?.[0] ?? 0;
  };
  return {
    ...fleet,
    restart,
    runLoad,
    expectLimitKept,
    findOwner,
    getLimits: (index: number) => limitsByHost.get(index) as UpstreamLimits,
    nameLimit: (next: number | undefined) => {
      limit = next;
    },
  };
}

const spread = (hosts: number) => {
  const random = createSeededRandom(3);
  return () => random.nextInteger(hosts);
};

describe("upstream limits of a fleet", function () {
  this.timeout(120_000);

  for (const limit of [0.4, 2.4]) {
    it(`are kept and used at ${limit} a second by 8 hosts`, async () => {
      const fleet = await createLimitedFleet({ hosts: 8, limit });
      await fleet.runLoad({ seconds: 2, perSecond: 20, chooseHost: spread(8) });
      const used = await fleet.runLoad({ seconds: 12, perSecond: 20, chooseHost: spread(8) });
      fleet.expectLimitKept();
      expect(used).to.be.at.least(Math.floor(USED_SHARE * limit * 12));
    });
  }

  for (const hosts of [80, 195]) {
    it(`are kept and used by ${hosts} hosts, callers at one host, then at all`, async () => {
      const fleet = await createLimitedFleet({ hosts, limit: 2.4 });
      // The owner has just started and settles first.
      await fleet.runLoad({ seconds: 3, perSecond: 20, chooseHost: () => 5 });
      const used = await fleet.runLoad({ seconds: 3, perSecond: 20, chooseHost: () => 5 });
      expect(used).to.be.at.least(Math.floor(USED_SHARE * 2.4 * 3));
      const usedByAll = await fleet.runLoad({
        seconds: 3,
        perSecond: 20,
        chooseHost: spread(hosts),
      });
      expect(usedByAll).to.be.at.least(Math.floor(USED_SHARE * 2.4 * 3));
      fleet.expectLimitKept();
    });
  }

  it("are used by callers that move from host to host each second", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 2.4 });
    const chooseHost = (nowMs: number) => Math.floor(nowMs / 1_000) % 8;
    await fleet.runLoad({ seconds: 2, perSecond: 20, chooseHost });
    const used = await fleet.runLoad({ seconds: 16, perSecond: 20, chooseHost });
    fleet.expectLimitKept();
    expect(used).to.be.at.least(USED_SHARE * 2.4 * 16);
  });

  it("are used when a tenth of all datagrams is lost", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 2.4, lossRate: 0.1 });
    await fleet.runLoad({ seconds: 2, perSecond: 20, chooseHost: spread(8) });
    const used = await fleet.runLoad({ seconds: 12, perSecond: 20, chooseHost: spread(8) });
    fleet.expectLimitKept();
    expect(used).to.be.at.least(USED_SHARE * 2.4 * 12);
  });

  const faults: readonly (readonly [
    string,
    (fleet: Awaited<ReturnType<typeof createLimitedFleet>>, owner: number) => void | Promise<void>,
  ])[] = [
    ["is killed", (fleet, owner) => fleet.hosts[owner]?.stop()],
    ["is restarted", (fleet, owner) => fleet.restart(owner)],
    ["is cut off", (fleet, owner) => {
      fleet.cut.add(owner);
    }],
    ["is frozen for 3 s", (fleet, owner) => {
      fleet.frozen.set(owner, []);
      fleet.clock.startTimer(3_000, () => fleet.thaw(owner));
    }],
  ];
  for (const [title, strike] of faults) {
    for (const limit of [2.4, 20]) {
      it(`are kept and used at ${limit} a second when their owner ${title}`, async () => {
        const fleet = await createLimitedFleet({ hosts: 8, limit });
        const load = { perSecond: 40, chooseHost: spread(8) };
        await fleet.runLoad({ ...load, seconds: 8 });
        const owner = fleet.findOwner();
        await strike(fleet, owner);
        await fleet.runLoad({ ...load, seconds: 5 });
        const used = await fleet.runLoad({ ...load, seconds: 8 });
        fleet.expectLimitKept(new Set([owner]));
        expect(used).to.be.at.least(USED_SHARE * limit * 8);
      });
    }
  }

  it("are kept by both parts of a split fleet together", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 20 });
    const load = { perSecond: 80, chooseHost: spread(8) };
    await fleet.runLoad({ ...load, seconds: 6 });
    fleet.hosts.forEach((_host, index) => fleet.parts.set(index, index < 4 ? 1 : 2));
    const used = await fleet.runLoad({ ...load, seconds: 10 });
    fleet.parts.clear();
    await fleet.runLoad({ ...load, seconds: 6 });
    fleet.expectLimitKept();
    expect(used).to.be.at.least(0.5 * 20 * 10);
  });

  it("are kept when all hosts start at once", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 2.4, discoveryMs: 0 });
    await fleet.runLoad({ seconds: 8, perSecond: 40, chooseHost: spread(8) });
    fleet.expectLimitKept();
  });

  it("are known to every host before it is told by the upstream", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 2.4 });
    await fleet.runLoad({ seconds: 1, perSecond: 5, chooseHost: () => 2 });
    fleet.hosts.forEach((_host, index) =>
      expect(fleet.getLimits(index).getLimit(UPSTREAM)).to.equal(2.4)
    );
    fleet.nameLimit(undefined);
    await fleet.runLoad({ seconds: 2, perSecond: 5, chooseHost: () => 2 });
    fleet.hosts.forEach((_host, index) =>
      expect(fleet.getLimits(index).getLimit(UPSTREAM)).to.equal(undefined)
    );
  });

  it("are known again to a host that restarts", async () => {
    const fleet = await createLimitedFleet({ hosts: 8, limit: 2.4 });
    await fleet.runLoad({ seconds: 3, perSecond: 10, chooseHost: () => 2 });
    await fleet.restart(6);
    await fleet.run(1_500);
    expect(fleet.getLimits(6).getLimit(UPSTREAM)).to.equal(2.4);
  });

  it("are kept through series of faults that overlap", async () => {
    for (let seed = 1; seed <= 12; seed++) {
      const random = createSeededRandom(seed);
      const limit = [0.4, 2.4, 10][seed % 3] ?? 1;
      const fleet = await createLimitedFleet({ hosts: 8, limit, lossRate: 0.05 });
      const load = { perSecond: 30, chooseHost: spread(8) };
      const struck = new Set<number>();
      await fleet.runLoad({ ...load, seconds: 3 });
      for (let round = 0; round < 8; round++) {
        const host = random.nextInteger(8);
        struck.add(host);
        const kind = random.nextInteger(3);
        if (kind === 0) {
          await fleet.restart(host);
        } else if (kind === 1) {
          fleet.frozen.set(host, fleet.frozen.get(host) ?? []);
          fleet.clock.startTimer(500 + random.nextInteger(3_000), () => fleet.thaw(host));
        } else {
          fleet.cut.add(host);
          fleet.clock.startTimer(500 + random.nextInteger(4_000), () => fleet.cut.delete(host));
        }
        await fleet.runLoad({ ...load, seconds: 1 });
        if (struck.size > 5) {
          struck.delete(host); // at least two hosts are never excused
          break;
        }
      }
      await fleet.runLoad({ ...load, seconds: 5 });
      try {
        fleet.expectLimitKept(struck);
      } catch (error) {
        throw new Error(`seed ${seed}: ${(error as Error).message}`, { cause: error });
      }
    }
  });
});
