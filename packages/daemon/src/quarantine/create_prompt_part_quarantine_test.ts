import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { createPartFleet } from "./testing/create_part_fleet.ts";

const CRASHING_PART = "bad";
/** Crashing requests that may reach engines after the fifth crash and the contact time. */
const MAX_LATE = 3;
const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);
const WARM_UP_MS = 10_000;
const RUN_MS = 60_000;
const FAULT_INTERVAL_MS = 3_000;

type Fleet = ReturnType<typeof createPartFleet>;

const createFleet = (seed: number, crashingRate: number, size: Partial<{ hosts: number }> = {}) =>
  createPartFleet({
    seed,
    hosts: size.hosts ?? 8,
    engines: 8,
    soundRate: 7,
    crashingRate,
    firstParts: 8,
    crashingPart: CRASHING_PART,
  });

/** Injects faults at random: crashes, resets, restarts and cuts of hosts, alone or at once. */
function scheduleFaults(fleet: Fleet, seed: number): void {
  const random = createSeededRandom(seed + 1_000);
  const choose = (count: number) => Math.floor(random.nextFloat() * count);
  const faults = [
    () => fleet.crashEngine(choose(8)),
    () => [0, 1, 2].forEach((index) => fleet.crashEngine(index)),
    () => [0, 1, 2, 3, 4, 5, 6, 7].forEach((index) => fleet.crashEngine(index)),
    () => fleet.resetConnections(choose(8)),
    () => [0, 1, 2, 3, 4, 5, 6, 7].forEach((index) => fleet.resetConnections(index)),
    () => fleet.restartHost(choose(8)),
    () => {
      const host = choose(8);
      fleet.setCut(host, true);
      fleet.clock.startTimer(5_000, () => fleet.setCut(host, false));
    },
  ];
  const injectNext = () => {
    faults[choose(faults.length)]?.();
    fleet.clock.startTimer(random.nextFloat() * 2 * FAULT_INTERVAL_MS, injectNext);
  };
  injectNext();
}

describe("quarantine of prompt parts", () => {
  it("refuses requests with a crashing part on every host in time, and no sound ones", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 2.5);
      fleet.clock.advance(WARM_UP_MS);
      fleet.startCrashingRequests();
      fleet.clock.advance(RUN_MS);
      expect(fleet.listQuarantined(), `seed ${seed}`).to.deep.equal([CRASHING_PART]);
      expect(fleet.countLate(), `seed ${seed}`).to.be.at.most(MAX_LATE);
      expect(fleet.results.soundRefused, `seed ${seed}`).to.equal(0);
    }
  });

  it("refuses them when they are rare", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 0.2);
      fleet.clock.advance(WARM_UP_MS);
      fleet.startCrashingRequests();
      fleet.clock.advance(2 * RUN_MS);
      expect(fleet.listQuarantined(), `seed ${seed}`).to.deep.equal([CRASHING_PART]);
      expect(fleet.countLate(), `seed ${seed}`).to.be.at.most(MAX_LATE);
    }
  });

  it("refuses them from the start of the fleet, before any sound execution is known", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 2.5);
      fleet.startCrashingRequests();
      fleet.clock.advance(RUN_MS);
      expect(fleet.listQuarantined(), `seed ${seed}`).to.deep.equal([CRASHING_PART]);
      expect(fleet.countLate(), `seed ${seed}`).to.be.at.most(MAX_LATE);
      expect(fleet.results.soundRefused, `seed ${seed}`).to.equal(0);
    }
  });

  it("refuses them on hosts that restart one after the other, and tells them anew", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 2.5);
      fleet.clock.advance(WARM_UP_MS);
      fleet.startCrashingRequests();
      fleet.clock.advance(WARM_UP_MS);
      for (let host = 0; host < 8; host++) {
        fleet.restartHost(host);
        fleet.clock.advance(2_000);
      }
      fleet.clock.advance(WARM_UP_MS);
      expect(fleet.countLate(), `seed ${seed}`).to.be.at.most(MAX_LATE);
      expect(fleet.results.soundRefused, `seed ${seed}`).to.equal(0);
    }
  });

  it("refuses nothing when engines, connections and hosts fail without a crashing part", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 0);
      scheduleFaults(fleet, seed);
      fleet.clock.advance(2 * RUN_MS);
      expect(fleet.listQuarantined(), `seed ${seed}`).to.deep.equal([]);
      expect(fleet.results.soundRefused, `seed ${seed}`).to.equal(0);
    }
  });

  it("refuses only the crashing part while engines, connections and hosts fail as well", () => {
    for (const seed of SEEDS) {
      const fleet = createFleet(seed, 2.5);
      scheduleFaults(fleet, seed);
      fleet.clock.advance(WARM_UP_MS);
      fleet.startCrashingRequests();
      fleet.clock.advance(RUN_MS);
      expect(fleet.listQuarantined(), `seed ${seed}`).to.deep.equal([CRASHING_PART]);
      expect(fleet.countLate(), `seed ${seed}`).to.be.at.most(MAX_LATE);
      expect(fleet.results.soundRefused, `seed ${seed}`).to.equal(0);
    }
  });
});
