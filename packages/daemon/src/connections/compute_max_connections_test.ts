import { expect } from "chai";
import { computeMaxConnections } from "./compute_max_connections.ts";
import { CONNECTION_LIMITS } from "./constants.ts";
import type { ListenerName } from "./listener_name.ts";

const NAMES = Object.keys(CONNECTION_LIMITS.maxConnections) as ListenerName[];

describe("computeMaxConnections", () => {
  it("gives every listener its usual limit on a host with enough descriptors", () => {
    for (const name of NAMES) {
      expect(computeMaxConnections(name, 3_000)).to.equal(CONNECTION_LIMITS.maxConnections[name]);
    }
  });

  it("leaves a third of fewer descriptors to the host", () => {
    const sum = NAMES.reduce((total, name) => total + computeMaxConnections(name, 300), 0);
    expect(sum).to.be.within(190, 200);
  });

  it("lets every listener accept a connection however few there are", () => {
    NAMES.forEach((name) => expect(computeMaxConnections(name, 10)).to.be.at.least(1));
  });
});
