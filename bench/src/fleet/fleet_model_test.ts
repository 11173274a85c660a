import { MEMBER_STATUS } from "@crocussail/daemon/membership";
import { expect } from "chai";
import { createFleetModel } from "./create_fleet_model.ts";

const { alive, suspect, dead, left } = MEMBER_STATUS;
const WARM_UP_MS = 5_000;
const DETECTION_LIMIT_MS = 15_000;
const HEAL_LIMIT_MS = 60_000;
const SIZES = [8, 50, 400];
const PARTITION_SIZES = [8, 50, 100];

const listIndexes = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, index) => from + index);
const createFleet = (members: number) => {
  const fleet = createFleetModel({ members, seed: members });
  fleet.runFor(WARM_UP_MS);
  return fleet;
};
const countEvents = (fleet: ReturnType<typeof createFleet>, event: string) =>
  fleet.events.filter((entry) => entry.event === event).length;
const areAllAlive = (fleet: ReturnType<typeof createFleet>) =>
  fleet.states.every((state) =>
    [...state.members.values()].every((member) => member.status === alive)
  );

describe("membership of a simulated fleet", function () {
  this.timeout(60_000);

  for (const members of SIZES) {
    const allMembers = listIndexes(0, members);

    it(`${members} members: every member detects a crash within the limit`, () => {
      const fleet = createFleet(members);
      fleet.stopMember(3);
      const elapsedMs = fleet.runUntil(
        () => fleet.isSeenBy(allMembers, 3, [dead]),
        DETECTION_LIMIT_MS,
      );
      expect(elapsedMs).to.be.a("number");
      expect(countEvents(fleet, "memberDead")).to.be.at.most(members - 1);
    });

    it(`${members} members: a loss of 5% of messages causes no false failure detection`, () => {
      const fleet = createFleet(members);
      fleet.setFault({ loss: 0.05 });
      fleet.runFor(20_000);
      expect(countEvents(fleet, "memberDead")).to.equal(0);
    });
  }

  for (const members of PARTITION_SIZES) {
    it(`${members} members: a partition heals by itself and no member is recorded as left`, () => {
      const fleet = createFleet(members);
      const half = members / 2;
      fleet.setFault({ isCut: (from, to) => (from < half) !== (to < half) });
      fleet.runFor(30_000);
      const otherHalf = listIndexes(half, members).map((index) =>
        fleet.states[0]?.members.get(fleet.names[index] ?? "")
      );
      expect(otherHalf.every((member) => member?.status === dead)).to.equal(true);
      expect(otherHalf.some((member) => member?.status === left)).to.equal(false);
      fleet.setFault({});
      expect(fleet.runUntil(() => areAllAlive(fleet), HEAL_LIMIT_MS)).to.be.a("number");
    });
  }

  it("one-way connections: a member that helpers reach is not declared dead", () => {
    const fleet = createFleet(50);
    fleet.setFault({ isCut: (from, to) => from === 4 && to > 4 && to < 40 });
    fleet.runFor(30_000);
    expect(fleet.isSeenBy(listIndexes(0, 50), 4, [alive, suspect])).to.equal(true);
    expect(countEvents(fleet, "memberDead")).to.equal(0);
  });

  it("a member that resumes after a pause treats its view as stale, then recovers", () => {
    const fleet = createFleet(50);
    const others = listIndexes(0, 50);
    fleet.setFault({ paused: new Set([7]) });
    fleet.runFor(20_000);
    expect(fleet.isSeenBy(others, 7, [dead])).to.equal(true);
    fleet.setFault({});
    const hasResumed = () => fleet.states[7]?.freshness.isAfterPause === true;
    expect(fleet.runUntil(hasResumed, 1_000)).to.be.a("number");
    expect(fleet.states[7]?.freshness.isFresh).to.equal(false);
    const isRecovered = () =>
      fleet.isSeenBy(others, 7, [alive]) && fleet.states[7]?.freshness.isFresh === true;
    expect(fleet.runUntil(isRecovered, DETECTION_LIMIT_MS)).to.be.a("number");
    expect(fleet.events.filter((entry) => entry.member === 7 && entry.event === "memberDead"))
      .to.deep.equal([]);
  });

  it("a resumed member that reaches no other member still treats its view as stale", () => {
    const fleet = createFleet(8);
    fleet.setFault({ paused: new Set([2]) });
    fleet.runFor(5_000);
    fleet.setFault({ isCut: (from, to) => from === 2 || to === 2 });
    fleet.runFor(10_000);
    expect(fleet.states[2]?.freshness.isFresh).to.equal(false);
  });

  it("simultaneous restart of all members: none is declared dead, all views converge", () => {
    const fleet = createFleet(100);
    listIndexes(0, 100).forEach(fleet.restartMember);
    const isConverged = () => new Set(fleet.states.map((state) => state.digest)).size === 1;
    expect(fleet.runUntil(isConverged, 2 * HEAL_LIMIT_MS)).to.be.a("number");
    expect(countEvents(fleet, "memberDead")).to.equal(0);
  });

  for (
    const { name, lost } of [{ name: "a rack", lost: 20 }, { name: "a data centre", lost: 50 }]
  ) {
    it(`400 members: after the loss of ${name}, exactly the lost members are declared dead`, () => {
      const fleet = createFleet(400);
      const lostMembers = listIndexes(100, 100 + lost);
      lostMembers.forEach(fleet.stopMember);
      const allMembers = listIndexes(0, 400);
      const areDeclaredDead = () =>
        lostMembers.every((index) => fleet.isSeenBy(allMembers, index, [dead]));
      expect(fleet.runUntil(areDeclaredDead, HEAL_LIMIT_MS)).to.be.a("number");
      const names = new Set(lostMembers.map((index) => fleet.names[index]));
      const falseDetections = fleet.events.filter((entry) =>
        entry.event === "memberDead" && !names.has(entry.peer)
      );
      expect(falseDetections).to.deep.equal([]);
    });
  }

  it("a restarted member overrides the record of its previous process", () => {
    const fleet = createFleet(50);
    fleet.restartMember(9);
    const incarnation = fleet.states[9]?.incarnation;
    const isKnown = () =>
      fleet.states.every((state, index) =>
        index === 9 || state.members.get(fleet.names[9] ?? "")?.incarnation === incarnation
      );
    expect(fleet.runUntil(isKnown, HEAL_LIMIT_MS)).to.be.a("number");
    expect(fleet.states[9]?.isSuperseded).to.equal(false);
  });
});
