import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { createReachability } from "./create_reachability.ts";

const UPSTREAMS = new Map([["desk", ["d1", "d2", "d3"]], ["llm", ["e1", "e2"]]]);

describe("createReachability", () => {
  const start = () => {
    const clock = createManualClock();
    const reached = new Set<string>();
    const probed: string[] = [];
    const events: string[] = [];
    const reachability = createReachability({
      clock,
      random: createSeededRandom(1),
      logger: { writeEvent: (name) => events.push(name) },
      metrics: { increment: () => {}, gauge: () => {}, distribution: () => {} },
      probeConnection: (address) => {
        probed.push(address);
        return Promise.resolve(reached.has(address));
      },
      listServices: () => [...UPSTREAMS.keys()],
      listUpstreams: (service) =>
        (UPSTREAMS.get(service) ?? []).map((id) => ({ id, address: id, canProbe: true })),
      countHostsReaching: () => 0,
      handleChange: () => {},
    });
    const settle = () => new Promise((resolve) => setImmediate(resolve));
    const fail = async (upstreamId: string, startedAtMs = clock.readMonotonicMs()) => {
      reachability.recordFailure({ upstreamId, service: "desk", startedAtMs });
      await settle();
    };
    return { clock, reached, probed, events, reachability, settle, fail };
  };

  it("probes another upstream after a failure, which tells a crash from a lost link", async () => {
    const { reached, probed, reachability, fail } = start();
    reached.add("d2").add("d3");
    await fail("d1");
    expect(probed.length).to.equal(1);
    expect(probed).to.not.include("d1");
    expect(reachability.isUnreachable("desk")).to.equal(false);
  });

  it("finds the other services unreachable with the first one when all links are lost", async () => {
    const { reachability, fail, settle } = start();
    await fail("d1");
    for (let round = 0; round < 4; round++) {
      await settle();
    }
    expect(reachability.listUnreachable().toSorted()).to.deep.equal(["desk", "llm"]);
    expect(reachability.isCutOff()).to.equal(true);
    expect(await reachability.verifyLinks("d2")).to.equal(false);
  });

  it("is not misled by the response on a connection that outlives the link", async () => {
    const { clock, reachability, fail } = start();
    clock.advance(1_000);
    await fail("d1");
    await fail("d2");
    clock.advance(100);
    reachability.recordContact({ upstreamId: "d3", service: "desk", startedAtMs: 500 });
    expect(reachability.isUnreachable("desk")).to.equal(true);
    reachability.recordContact({ upstreamId: "d3", service: "desk", startedAtMs: 1_050 });
    expect(reachability.isUnreachable("desk")).to.equal(false);
  });

  it("probes an unreachable service now and then until it is reached", async () => {
    const { clock, reached, probed, events, reachability, fail, settle } = start();
    await fail("d1");
    await fail("d2");
    const before = probed.length;
    for (let ms = 0; ms < 2_000; ms += 100) {
      clock.advance(100);
      reachability.tick();
      await settle();
    }
    const perService = (probed.length - before) / reachability.listUnreachable().length;
    expect(perService).to.be.within(3, 4);
    UPSTREAMS.get("desk")?.forEach((id) => reached.add(id));
    clock.advance(500);
    reachability.tick();
    await settle();
    expect(reachability.isUnreachable("desk")).to.equal(false);
    expect(events).to.include("serviceReached");
  });

  it("counts a lost upstream as lost while another service is reached", async () => {
    const { reached, reachability } = start();
    reached.add("e1").add("e2");
    expect(await reachability.verifyLinks("d1")).to.equal(true);
  });

  it("probes once when a host of its data centre begins to report", async () => {
    const { clock, reached, probed, reachability, settle } = start();
    reached.add("d1").add("d2").add("d3");
    for (let report = 0; report < 5; report++) {
      reachability.checkReported("other", ["desk"]);
      await settle();
      clock.advance(1_000);
    }
    expect(probed.length).to.equal(1);
  });
});
