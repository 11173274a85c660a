import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { chooseHandoverHost } from "./choose_handover_host.ts";
import type { HandoverHost } from "./choose_handover_host.ts";

const HOST: HandoverHost = {
  host: "h1",
  peerAddress: "10.0.0.1:7200",
  size: 1,
  isReady: true,
  isLeaving: false,
  settingsVersion: 5,
  protocolVersion: 1,
  unreachableServices: [],
};

describe("chooseHandoverHost", () => {
  const random = createSeededRandom(1);
  const choose = (hosts: readonly HandoverHost[], minProtocolVersion = 0) =>
    chooseHandoverHost(hosts, {
      service: "desk",
      settingsVersion: 5,
      minProtocolVersion,
      excluded: new Set(["tried"]),
      random,
    })?.host;

  it("chooses no host that cannot serve the request", () => {
    const unfit: HandoverHost[] = [
      { ...HOST, isReady: false },
      { ...HOST, isLeaving: true },
      { ...HOST, settingsVersion: 4 },
      { ...HOST, unreachableServices: ["desk"] },
      { ...HOST, host: "tried" },
    ];
    expect(choose(unfit)).to.equal(undefined);
    expect(choose([...unfit, { ...HOST, host: "h2", unreachableServices: ["llm"] }]))
      .to.equal("h2");
  });

  // Guards against a request that a host of the former build sends to an evacuated data centre.
  it("chooses a host of a build that lacks a needed protocol only if no other one is left", () => {
    const former = { ...HOST, host: "former", protocolVersion: 0, size: 1_000 };
    expect(choose([former, HOST], 1)).to.equal("h1");
    expect(choose([former, { ...HOST, isReady: false }], 1)).to.equal("former");
    expect(choose([former, { ...HOST, size: 0.001 }], 0)).to.equal("former");
  });

  it("chooses hosts in proportion to their sizes", () => {
    const hosts = [HOST, { ...HOST, host: "large", size: 3 }];
    const chosen = Array.from({ length: 400 }, () => choose(hosts));
    expect(chosen.filter((host) => host === "large").length).to.be.within(260, 340);
  });
});
