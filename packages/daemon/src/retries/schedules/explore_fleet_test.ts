import { expect } from "chai";
import { decideRetry } from "../decide_retry.ts";
import { RETRY_MUTATIONS } from "./retry_mutations.ts";
import { exploreFleet } from "./explore_fleet.ts";

const KINDS = ["once", "stream", "repeatable"] as const;
/** Mutations that break what a fleet sees; the others break budgets and time limits. */
const VISIBLE: readonly string[] = [
  "bookings are repeated like reads",
  "streams are repeated like reads",
  "a lost answer counts as not sent",
  "a lost answer counts as refused",
  "a failure counts as refused",
  "a lost answer is passed on",
  "an unknown outcome is called not run",
  "earlier attempts are forgotten",
];

describe("schedules over two hosts and two workers", () => {
  it("break no invariant by the daemon's rule", () => {
    const walks = KINDS.map((kind) => exploreFleet(decideRetry, kind));
    const worlds = walks.reduce((sum, walk) => sum + walk.worlds, 0);
    const steps = walks.reduce((sum, walk) => sum + walk.steps, 0);
    console.log(`    ${worlds} worlds, ${steps} steps, ${VISIBLE.length} mutations`);
    expect(walks.flatMap(({ faults }) => faults)).to.deep.equal([]);
    for (const { reached } of walks) {
      expect([...reached]).to.have.members(["secondHost", "secondWorker", "lateRun"]);
    }
  });

  for (const title of VISIBLE) {
    it(`catch the mutation: ${title}`, () => {
      const rule = RETRY_MUTATIONS[title];
      expect(rule).not.to.equal(undefined);
      const faults = KINDS.flatMap((kind) => exploreFleet(rule ?? decideRetry, kind).faults);
      expect(faults).to.not.deep.equal([]);
    });
  }
});
