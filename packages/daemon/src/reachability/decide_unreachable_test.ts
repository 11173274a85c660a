import { expect } from "chai";
import { REACHABILITY_LIMITS } from "./constants.ts";
import { decideUnreachable } from "./decide_unreachable.ts";

const UPSTREAMS = ["a", "b", "c"];

describe("decideUnreachable", () => {
  it("needs failures of two upstreams", () => {
    const one = { failures: new Map([["a", 0]]) };
    const two = { failures: new Map([["a", 0], ["b", 1]]) };
    expect(decideUnreachable(one, UPSTREAMS, 1)).to.equal(false);
    expect(decideUnreachable(two, UPSTREAMS, 1)).to.equal(true);
  });

  it("needs the failure of the only upstream", () => {
    expect(decideUnreachable({ failures: new Map([["a", 0]]) }, ["a"], 1)).to.equal(true);
    expect(decideUnreachable({ failures: new Map() }, [], 1)).to.equal(false);
  });

  it("forgets failures after a while, and those of upstreams that are gone", () => {
    const failures = new Map([["a", 0], ["b", 1]]);
    const laterMs = REACHABILITY_LIMITS.failureMemoryMs + 1;
    expect(decideUnreachable({ failures }, UPSTREAMS, laterMs)).to.equal(false);
    expect(decideUnreachable({ failures }, ["a", "c", "d"], 1)).to.equal(false);
  });
});
