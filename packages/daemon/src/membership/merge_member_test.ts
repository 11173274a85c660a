import { expect } from "chai";
import { applyPublishedHosts } from "./apply_published_hosts.ts";
import { hashHost } from "./hash_host.ts";
import { MEMBER_STATUS } from "./member_status.ts";
import type { MemberStatus } from "./member_status.ts";
import { createMembershipState } from "./membership_state.ts";
import { mergeMember } from "./merge_member.ts";

const { alive, leaving, suspect, dead, left } = MEMBER_STATUS;
const NOW_MS = 100_000;
const random = { nextFloat: () => 0, nextInteger: () => 0, nextHex: () => "" };

const makeState = (startedAtMs = 0) => {
  const state = createMembershipState({ host: "a", incarnation: 7, random, nowMs: startedAtMs });
  applyPublishedHosts(state, ["a", "b"], startedAtMs);
  return state;
};

describe("merging what peers say of a member", () => {
  const cases: {
    name: string;
    known: [number, number, MemberStatus];
    told: [number, number, MemberStatus];
    expected: [number, number, MemberStatus];
  }[] = [
    { name: "older counter", known: [5, 3, alive], told: [5, 2, dead], expected: [5, 3, alive] },
    { name: "same record", known: [5, 3, suspect], told: [5, 3, alive], expected: [5, 3, suspect] },
    { name: "suspicion", known: [5, 3, alive], told: [5, 3, suspect], expected: [5, 3, suspect] },
    { name: "refutation", known: [5, 3, suspect], told: [5, 4, alive], expected: [5, 4, alive] },
    { name: "return", known: [5, 3, dead], told: [5, 4, alive], expected: [5, 4, alive] },
    {
      name: "death of one believed alive",
      known: [5, 3, alive],
      told: [5, 3, dead],
      expected: [5, 3, suspect],
    },
    {
      name: "death of a suspect",
      known: [5, 3, suspect],
      told: [5, 3, dead],
      expected: [5, 3, dead],
    },
    { name: "new process", known: [5, 3, dead], told: [9, 4, alive], expected: [9, 4, alive] },
    { name: "own leave", known: [5, 3, alive], told: [5, 4, leaving], expected: [5, 4, leaving] },
    { name: "own end", known: [5, 4, leaving], told: [5, 5, left], expected: [5, 5, left] },
    {
      name: "doubt of one that left",
      known: [5, 5, left],
      told: [5, 5, dead],
      expected: [5, 5, left],
    },
  ];
  for (const { name, known, told, expected } of cases) {
    it(`handles ${name}`, () => {
      const state = makeState();
      const member = state.members.get("b");
      const [incarnation, counter, status] = known;
      Object.assign(member ?? {}, { incarnation, counter, status });
      const update = { incarnation: told[0], counter: told[1], status: told[2] };
      mergeMember(state, { id: hashHost("b"), ...update }, NOW_MS);
      expect([member?.incarnation, member?.counter, member?.status]).to.deep.equal(expected);
    });
  }

  it("does not suspect a member that it has just heard on another's word", () => {
    const state = makeState();
    const member = state.members.get("b");
    Object.assign(member ?? {}, { incarnation: 5, counter: 1, heardAtMs: NOW_MS - 100 });
    const update = { id: hashHost("b"), incarnation: 5, counter: 1, status: suspect };
    mergeMember(state, update, NOW_MS);
    expect(member?.status).to.equal(alive);
  });

  it("refutes a doubt about itself and overrides its predecessor at the start", () => {
    const state = makeState(NOW_MS);
    mergeMember(state, { id: hashHost("a"), incarnation: 3, counter: 8, status: dead }, NOW_MS);
    expect(state.counter).to.equal(9);
    expect(state.isSuperseded).to.equal(false);
  });

  it("gives way to a later process of its own name when it wakes late", () => {
    const state = makeState(0);
    mergeMember(state, { id: hashHost("a"), incarnation: 3, counter: 8, status: alive }, NOW_MS);
    expect(state.isSuperseded).to.equal(true);
    expect(state.counter).to.equal(1);
  });
});
