import { MEMBER_STATUS } from "@crocussail/daemon/membership";
import { expect } from "chai";
import { createFleetModel } from "./create_fleet_model.ts";

const { alive, suspect, dead, left } = MEMBER_STATUS;
const WARM_UP_MS = 5_000;
const DETECTION_BOUND_MS = 15_000;
const HEAL_BOUND_MS = 60_000;
const SIZES = [8, 50, 400];
const PARTITION_SIZES = [8, 50, 100];

const listIndexes = (from: number, to: number) =>
  Array.from({ length: to - from }, (_, index) => from + index);
const makeFleet = (members: number) => {
  const fleet = createFleetModel({ members, seed: members });
  fleet.runFor(WARM_UP_MS);
  return fleet;
};
const countEvents = (fleet: ReturnType<typeof makeFleet>, event: string) =>
  fleet.events.filter((entry) => entry.event === event).length;
const isWhole = (fleet: ReturnType<typeof makeFleet>) =>
  fleet.states.every((state) =>
    [...state.members.values()].every((member) => member.status === alive)
  );

describe("a fleet of members on an injected clock", function () {
  this.timeout(60_000);

  for (const members of SIZES) {
    const everyone = listIndexes(0, members);

    it(`${members} members: a death is known everywhere within the bound`, () => {
      const fleet = makeFleet(members);
      fleet.stopMember(3);
      const takenMs = fleet.runUntil(() => fleet.isSeenBy(everyone, 3, [dead]), DETECTION_BOUND_MS);
      expect(takenMs).to.be.a("number");
      expect(countEvents(fleet, "memberDead")).to.be.at.most(members - 1);
    });

    it(`${members} members: losing 5% of messages kills nobody`, () => {
      const fleet = makeFleet(members);
      fleet.setFault({ loss: 0.05 });
      fleet.runFor(20_000);
      expect(countEvents(fleet, "memberDead")).to.equal(0);
    });
  }

  for (const members of PARTITION_SIZES) {
    it(`${members} members: a partition heals by itself and nobody is taken to have left`, () => {
      const fleet = makeFleet(members);
      const half = members / 2;
      fleet.setFault({ isCut: (from, to) => (from < half) !== (to < half) });
      fleet.runFor(30_000);
      const far = listIndexes(half, members).map((index) =>
        fleet.states[0]?.members.get(fleet.names[index] ?? "")
      );
      expect(far.every((member) => member?.status === dead)).to.equal(true);
      expect(far.some((member) => member?.status === left)).to.equal(false);
      fleet.setFault({});
      expect(fleet.runUntil(() => isWhole(fleet), HEAL_BOUND_MS)).to.be.a("number");
    });
  }

  it("one-way links: a member that helpers reach is not suspected", () => {
    const fleet = makeFleet(50);
    fleet.setFault({ isCut: (from, to) => from === 4 && to > 4 && to < 40 });
    fleet.runFor(30_000);
    expect(fleet.isSeenBy(listIndexes(0, 50), 4, [alive, suspect])).to.equal(true);
    expect(countEvents(fleet, "memberDead")).to.equal(0);
  });

  it("a member that pauses distrusts its view when it wakes, and comes back", () => {
    const fleet = makeFleet(50);
    const others = listIndexes(0, 50);
    fleet.setFault({ paused: new Set([7]) });
    fleet.runFor(20_000);
    expect(fleet.isSeenBy(others, 7, [dead])).to.equal(true);
    fleet.setFault({});
    const isWoken = () => fleet.states[7]?.freshness.isWoken === true;
    expect(fleet.runUntil(isWoken, 1_000)).to.be.a("number");
    expect(fleet.states[7]?.freshness.isFresh).to.equal(false);
    const isBack = () =>
      fleet.isSeenBy(others, 7, [alive]) && fleet.states[7]?.freshness.isFresh === true;
    expect(fleet.runUntil(isBack, DETECTION_BOUND_MS)).to.be.a("number");
    expect(fleet.events.filter((entry) => entry.member === 7 && entry.event === "memberDead"))
      .to.deep.equal([]);
  });

  it("a woken member that reaches nobody stays distrustful until its bound", () => {
    const fleet = makeFleet(8);
    fleet.setFault({ paused: new Set([2]) });
    fleet.runFor(5_000);
    fleet.setFault({ isCut: (from, to) => from === 2 || to === 2 });
    fleet.runFor(10_000);
    expect(fleet.states[2]?.freshness.isFresh).to.equal(false);
  });

  it("all restart at once: none is taken for dead, all views agree", () => {
    const fleet = makeFleet(100);
    listIndexes(0, 100).forEach(fleet.restartMember);
    const isAgreed = () => new Set(fleet.states.map((state) => state.digest)).size === 1;
    expect(fleet.runUntil(isAgreed, 2 * HEAL_BOUND_MS)).to.be.a("number");
    expect(countEvents(fleet, "memberDead")).to.equal(0);
  });

  for (
    const { name, lost } of [{ name: "a rack", lost: 20 }, { name: "a data centre", lost: 50 }]
  ) {
    it(`losing ${name} of 400: the lost are known, nobody else is`, () => {
      const fleet = makeFleet(400);
      const gone = listIndexes(100, 100 + lost);
      gone.forEach(fleet.stopMember);
      const everyone = listIndexes(0, 400);
      const isKnown = () => gone.every((index) => fleet.isSeenBy(everyone, index, [dead]));
      expect(fleet.runUntil(isKnown, HEAL_BOUND_MS)).to.be.a("number");
      const names = new Set(gone.map((index) => fleet.names[index]));
      const wrong = fleet.events.filter((entry) =>
        entry.event === "memberDead" && !names.has(entry.peer)
      );
      expect(wrong).to.deep.equal([]);
    });
  }

  it("a restarted member overrides the record of its earlier process", () => {
    const fleet = makeFleet(50);
    fleet.restartMember(9);
    const tag = fleet.states[9]?.incarnation;
    const isKnown = () =>
      fleet.states.every((state, index) =>
        index === 9 || state.members.get(fleet.names[9] ?? "")?.incarnation === tag
      );
    expect(fleet.runUntil(isKnown, HEAL_BOUND_MS)).to.be.a("number");
    expect(fleet.states[9]?.isSuperseded).to.equal(false);
  });
});
