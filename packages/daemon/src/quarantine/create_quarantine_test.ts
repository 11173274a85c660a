import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import type { Notice } from "../membership/mod.ts";
import { createQuarantine } from "./create_quarantine.ts";
import { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";

const CRASHING_REQUEST = "a".repeat(32);
const OTHER_REQUEST = "b".repeat(32);
const UNKNOWN_REQUEST = "c".repeat(32);

/** Creates the quarantines of two hosts that receive each other's notices. */
function createFleet() {
  const clock = createManualClock();
  const listeners: ((notice: Notice) => void)[] = [];
  const createHost = (origin: string, seed: number) =>
    createQuarantine({
      context: { clock, logger: { writeEvent: () => {} }, random: createSeededRandom(seed) },
      membership: {
        publishNotice: (notice) => listeners.forEach((listener) => listener({ ...notice, origin })),
        subscribeNotices: (_topic, listener) => {
          listeners.push(listener);
        },
      },
    });
  const hosts = [createHost("host-1", 1), createHost("host-2", 2)] as const;
  return {
    clock,
    hosts,
    send: (payload: unknown) =>
      listeners.forEach((listener) =>
        listener({ topic: "", key: "", origin: "host-3", payload, ttlMs: 1_000 })
      ),
  };
}

/** Describes a suspect that had produced no token when its upstream crashed. */
const early = (fingerprint: string) => ({ fingerprint, tokens: 0 });

describe("quarantine across hosts", () => {
  it("quarantines on every host a request after two hosts each saw it crash an upstream", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.recordUpstreamCrash("plan-1", early(CRASHING_REQUEST));
    second.recordUpstreamCrash("plan-1", early(OTHER_REQUEST));
    clock.advance(60_000);
    second.recordUpstreamCrash("plan-2", early(CRASHING_REQUEST));
    clock.advance(QUARANTINE_DEFAULTS.collectMs);
    for (const host of [first, second]) {
      expect(host.isQuarantined(CRASHING_REQUEST)).to.equal(true);
      expect(host.isQuarantined(OTHER_REQUEST)).to.equal(false);
      expect(host.isQuarantined(UNKNOWN_REQUEST)).to.equal(false);
    }
    clock.advance(QUARANTINE_DEFAULTS.quarantineMs);
    expect(first.isQuarantined(CRASHING_REQUEST)).to.equal(false);
  });

  it("delays a suspect of two crashes until the reports of the second are collected", async () => {
    const { clock, hosts: [first] } = createFleet();
    const order: string[] = [];
    await first.recordUpstreamCrash("plan-1", early(CRASHING_REQUEST)).then(() =>
      order.push("first crash")
    );
    clock.advance(QUARANTINE_DEFAULTS.collectMs);
    const resumed = first.recordUpstreamCrash("plan-2", early(CRASHING_REQUEST))
      .then(() => {
        order.push(`resumed ${first.isQuarantined(CRASHING_REQUEST)}`);
      });
    await Promise.resolve();
    expect(order).to.deep.equal(["first crash"]);
    clock.advance(QUARANTINE_DEFAULTS.collectMs);
    await resumed;
    expect(order).to.deep.equal(["first crash", "resumed true"]);
  });

  it("clears a suspect on every host after it completed", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.recordUpstreamCrash("plan-1", early(CRASHING_REQUEST));
    clock.advance(60_000);
    second.recordRequestEnd(CRASHING_REQUEST, true);
    first.recordUpstreamCrash("plan-2", early(CRASHING_REQUEST));
    clock.advance(QUARANTINE_DEFAULTS.collectMs);
    expect(first.isQuarantined(CRASHING_REQUEST)).to.equal(false);
    expect(second.isQuarantined(CRASHING_REQUEST)).to.equal(false);
  });

  it("clears a suspect whose retry completed before the crash was published", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.recordUpstreamCrash("plan-1", early(CRASHING_REQUEST));
    first.recordRequestEnd(CRASHING_REQUEST, true);
    clock.advance(60_000);
    second.recordUpstreamCrash("plan-2", early(CRASHING_REQUEST));
    clock.advance(QUARANTINE_DEFAULTS.collectMs);
    expect(first.isQuarantined(CRASHING_REQUEST)).to.equal(false);
  });

  it("ignores invalid notices", () => {
    const { hosts: [first], send } = createFleet();
    for (const payload of [undefined, null, 7, "x", [], {}, { type: "quarantined" }]) {
      send(payload);
    }
    send({ type: "quarantined", fingerprint: "not hexadecimal" });
    expect(first.dumpState()).to.deep.equal({ crashes: [], quarantined: [] });
  });
});
