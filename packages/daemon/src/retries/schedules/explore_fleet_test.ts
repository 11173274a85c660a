import { expect } from "chai";
import { decideRetry } from "../decide_retry.ts";
import { RETRY_MUTATIONS } from "./retry_mutations.ts";
import { exploreFleet } from "./explore_fleet.ts";

const KINDS = ["once", "stream", "repeatable"] as const;
/** Mutations that violate an invariant of the fleet; the others exceed budgets and deadlines. */
const VISIBLE_MUTATIONS: readonly string[] = [
  "non-repeatable requests are retried like repeatable ones",
  "streams are retried like repeatable requests",
  "a lost response counts as not sent",
  "a lost response counts as refused",
  "a failure counts as refused",
  "a lost response is relayed",
  "an unknown outcome is reported as not executed",
  "earlier attempts are not counted",
];

describe("exploreFleet over two hosts and two upstreams", () => {
  it("finds no violation of an invariant by decideRetry", () => {
    const explorations = KINDS.map((kind) => exploreFleet(decideRetry, kind));
    const worlds = explorations.reduce((sum, exploration) => sum + exploration.worlds, 0);
    const steps = explorations.reduce((sum, exploration) => sum + exploration.steps, 0);
    console.log(`    ${worlds} states, ${steps} steps, ${VISIBLE_MUTATIONS.length} mutations`);
    expect(explorations.flatMap(({ faults }) => faults)).to.deep.equal([]);
    for (const { reached } of explorations) {
      expect([...reached]).to.have.members([
        "secondHost",
        "secondUpstream",
        "executionAfterBrokenConnection",
      ]);
    }
  });

  for (const title of VISIBLE_MUTATIONS) {
    it(`detects the mutation: ${title}`, () => {
      const rule = RETRY_MUTATIONS[title];
      expect(rule).not.to.equal(undefined);
      const faults = KINDS.flatMap((kind) => exploreFleet(rule ?? decideRetry, kind).faults);
      expect(faults).to.not.deep.equal([]);
    });
  }
});
