import { expect } from "chai";
import { ENTRY_LIMITS } from "./constants.ts";
import { decideEntry } from "./decide_entry.ts";
import type { EntryCandidate, EntryChoice } from "./decide_entry.ts";
import { listEntryCandidates } from "./list_entry_candidates.ts";

const makeHosts = (count: number, dataCentres: number, getCapacity = (_index: number) => 1) =>
  Array.from({ length: count }, (_, index): EntryCandidate => ({
    host: `h${index}`,
    dataCentre: `dc${index % dataCentres}`,
    capacity: getCapacity(index),
  }));
const callers = Array.from({ length: 2_000 }, (_, index) => `team-${index % 40}\0caller-${index}`);
const decideAll = (candidates: readonly EntryCandidate[]) =>
  callers.map((caller, index) => decideEntry({ candidates, dataCentre: `dc${index % 8}`, caller }));
const sumShares = (answers: readonly EntryChoice[][]) => {
  const shares = new Map<string, number>();
  for (const { host, weight } of answers.flat()) {
    const share = weight / ENTRY_LIMITS.totalWeight / answers.length;
    shares.set(host, (shares.get(host) ?? 0) + share);
  }
  return shares;
};

describe("choosing the hosts of an entry response", () => {
  it("returns hosts of the nearest data centre first and others as backups without a share", () => {
    const answer = decideEntry({
      candidates: makeHosts(400, 8),
      dataCentre: "dc3",
      caller: "a",
    });
    const isNear = answer.map(({ host }) => Number(host.slice(1)) % 8 === 3);
    expect(isNear).to.deep.equal([...Array(8).fill(true), ...Array(4).fill(false)]);
    expect(answer.slice(8).every(({ weight }) => weight === 0)).to.equal(true);
  });

  for (
    const { hosts, dataCentres } of [
      { hosts: 6, dataCentres: 3 },
      { hosts: 8, dataCentres: 4 },
      { hosts: 400, dataCentres: 8 },
    ]
  ) {
    it(`limits the share of each host in a fleet of ${hosts} hosts`, () => {
      for (
        const answer of decideAll(makeHosts(hosts, dataCentres, (index) => 1 + 15 * (index % 2)))
      ) {
        const total = answer.reduce((sum, { weight }) => sum + weight, 0);
        const largest = Math.max(...answer.map(({ weight }) => weight));
        expect(largest).to.be.at.most(ENTRY_LIMITS.maxShare * ENTRY_LIMITS.totalWeight);
        expect(total).to.be.within(ENTRY_LIMITS.totalWeight - 10, ENTRY_LIMITS.totalWeight);
      }
    });
  }

  it("gives a host of twice the size about twice the share", () => {
    const shares = sumShares(decideAll(makeHosts(80, 8, (index) => index < 40 ? 2 : 1)));
    const sum = (from: number) =>
      Array.from({ length: 40 }, (_, index) => shares.get(`h${from + index}`) ?? 0)
        .reduce((total, share) => total + share, 0);
    expect(sum(0) / sum(40)).to.be.within(1.7, 2.3);
  });

  it("changes only the responses that contained a removed host", () => {
    const hosts = makeHosts(400, 8);
    const before = decideAll(hosts);
    const after = decideAll(hosts.filter(({ host }) => host !== "h11"));
    const changed = before.filter((answer, index) =>
      JSON.stringify(answer) !== JSON.stringify(after[index])
    );
    expect(changed.length).to.be.greaterThan(0);
    expect(changed.every((answer) => answer.some(({ host }) => host === "h11"))).to.equal(true);
  });

  for (const { name, count } of [{ name: "one host", count: 1 }, { name: "no host", count: 0 }]) {
    it(`returns ${name}`, () => {
      const answer = decideEntry({
        candidates: makeHosts(count, 1),
        dataCentre: "dc0",
        caller: "a",
      });
      expect(answer.map(({ weight }) => weight)).to.deep.equal(Array(count).fill(1_000));
    });
  }

  it("leaves out suspected hosts unless most of the live hosts are suspected", () => {
    const settings = { address: "10.0.0.1", callerPort: 1, peerPort: 2, dataCentre: "dc", size: 4 };
    const hosts = new Map(
      ["a", "b", "c"].map((host) => [host, { ...settings, state: "live" as const }]),
    );
    const getCapacityFactor = (host: string) => host === "a" ? 0.5 : 1;
    const options = { hosts, live: ["a", "b", "c"], getCapacityFactor };
    const few = listEntryCandidates({ ...options, unsuspected: ["a", "b"] });
    expect(few.map(({ host, capacity }) => [host, capacity])).to.deep.equal([["a", 2], ["b", 4]]);
    expect(listEntryCandidates({ ...options, unsuspected: ["a"] })).to.have.length(3);
  });
});
