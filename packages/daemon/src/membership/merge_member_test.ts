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

describe("merging peers' records of a member", () => {
  const cases: {
    name: string;
    known: [number, number, MemberStatus];
    received: [number, number, MemberStatus];
    expected: [number, number, MemberStatus];
  }[] = [
    {
      name: "a record with an older counter is ignored",
      known: [5, 3, alive],
      received: [5, 2, dead],
      expected: [5, 3, alive],
    },
    {
      name: "a lower status is ignored if counter and incarnation are equal",
      known: [5, 3, suspect],
      received: [5, 3, alive],
      expected: [5, 3, suspect],
    },
    {
      name: "a suspicion is applied",
      known: [5, 3, alive],
      received: [5, 3, suspect],
      expected: [5, 3, suspect],
    },
    {
      name: "a refutation with a higher counter ends a suspicion",
      known: [5, 3, suspect],
      received: [5, 4, alive],
      expected: [5, 4, alive],
    },
    {
      name: "a dead member is alive again after a record with a higher counter",
      known: [5, 3, dead],
      received: [5, 4, alive],
      expected: [5, 4, alive],
    },
    {
      name: "a member considered alive is only suspected when a peer reports it dead",
      known: [5, 3, alive],
      received: [5, 3, dead],
      expected: [5, 3, suspect],
    },
    {
      name: "a suspected member becomes dead when a peer reports it dead",
      known: [5, 3, suspect],
      received: [5, 3, dead],
      expected: [5, 3, dead],
    },
    {
      name: "the record of a new process replaces that of a dead one",
      known: [5, 3, dead],
      received: [9, 4, alive],
      expected: [9, 4, alive],
    },
    {
      name: "a leave that the member reported itself is applied",
      known: [5, 3, alive],
      received: [5, 4, leaving],
      expected: [5, 4, leaving],
    },
    {
      name: "an end that the member reported itself is applied",
      known: [5, 4, leaving],
      received: [5, 5, left],
      expected: [5, 5, left],
    },
    {
      name: "a member that has left keeps this status when a peer reports it dead",
      known: [5, 5, left],
      received: [5, 5, dead],
      expected: [5, 5, left],
    },
  ];
  for (const { name, known, received, expected } of cases) {
    it(`ensures that ${name}`, () => {
      const state = makeState();
      const member = state.members.get("b");
      const [incarnation, counter, status] = known;
      Object.assign(member ?? {}, { incarnation, counter, status });
      const update = { incarnation: received[0], counter: received[1], status: received[2] };
      mergeMember(state, { id: hashHost("b"), ...update }, NOW_MS);
      expect([member?.incarnation, member?.counter, member?.status]).to.deep.equal(expected);
    });
  }

  it("does not suspect a member with a recent heartbeat because of a peer's report", () => {
    const state = makeState();
    const member = state.members.get("b");
    Object.assign(member ?? {}, { incarnation: 5, counter: 1, lastHeartbeatMs: NOW_MS - 100 });
    const update = { id: hashHost("b"), incarnation: 5, counter: 1, status: suspect };
    mergeMember(state, update, NOW_MS);
    expect(member?.status).to.equal(alive);
  });

  it("refutes a suspicion of itself and overrides an earlier process at the start", () => {
    const state = makeState(NOW_MS);
    mergeMember(state, { id: hashHost("a"), incarnation: 3, counter: 8, status: dead }, NOW_MS);
    expect(state.counter).to.equal(9);
    expect(state.isSuperseded).to.equal(false);
  });

  it("is superseded by a later process with its name when it resumes after a pause", () => {
    const state = makeState(0);
    mergeMember(state, { id: hashHost("a"), incarnation: 3, counter: 8, status: alive }, NOW_MS);
    expect(state.isSuperseded).to.equal(true);
    expect(state.counter).to.equal(1);
  });
});
