import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import type { Notice } from "../membership/mod.ts";
import { createQuarantine } from "./create_quarantine.ts";
import { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";

const POISON = "a".repeat(32);
const INNOCENT = "b".repeat(32);
const STRANGER = "c".repeat(32);

/** Creates the quarantines of two hosts whose notices reach each other. */
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

const early = (fingerprint: string) => ({ fingerprint, tokens: 0 });

describe("quarantine across hosts", () => {
  it("quarantines everywhere what crashed an upstream under each of two hosts", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.noteDeath("plan-1", early(POISON));
    second.noteDeath("plan-1", early(INNOCENT));
    clock.advance(60_000);
    second.noteDeath("plan-2", early(POISON));
    clock.advance(QUARANTINE_DEFAULTS.settleMs);
    for (const host of [first, second]) {
      expect(host.isQuarantined(POISON)).to.equal(true);
      expect(host.isQuarantined(INNOCENT)).to.equal(false);
      expect(host.isQuarantined(STRANGER)).to.equal(false);
    }
    clock.advance(QUARANTINE_DEFAULTS.quarantineMs);
    expect(first.isQuarantined(POISON)).to.equal(false);
  });

  it("holds a request with other evidence until all reports of its crash are in", async () => {
    const { clock, hosts: [first] } = createFleet();
    const order: string[] = [];
    await first.noteDeath("plan-1", early(POISON)).then(() => order.push("first crash"));
    clock.advance(QUARANTINE_DEFAULTS.settleMs);
    const judged = first.noteDeath("plan-2", early(POISON)).then(() => {
      order.push(`judged ${first.isQuarantined(POISON)}`);
    });
    await Promise.resolve();
    expect(order).to.deep.equal(["first crash"]);
    clock.advance(QUARANTINE_DEFAULTS.settleMs);
    await judged;
    expect(order).to.deep.equal(["first crash", "judged true"]);
  });

  it("clears on every host a suspect that has run well", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.noteDeath("plan-1", early(POISON));
    clock.advance(60_000);
    second.noteEnd(POISON, true);
    first.noteDeath("plan-2", early(POISON));
    clock.advance(QUARANTINE_DEFAULTS.settleMs);
    expect(first.isQuarantined(POISON)).to.equal(false);
    expect(second.isQuarantined(POISON)).to.equal(false);
  });

  it("clears a suspect that ran well before its crash has gone round", () => {
    const { clock, hosts: [first, second] } = createFleet();
    first.noteDeath("plan-1", early(POISON));
    first.noteEnd(POISON, true);
    clock.advance(60_000);
    second.noteDeath("plan-2", early(POISON));
    clock.advance(QUARANTINE_DEFAULTS.settleMs);
    expect(first.isQuarantined(POISON)).to.equal(false);
  });

  it("ignores notices of another shape", () => {
    const { hosts: [first], send } = createFleet();
    for (const payload of [undefined, null, 7, "x", [], {}, { type: "quarantined" }]) {
      send(payload);
    }
    send({ type: "quarantined", fingerprint: "not hexadecimal" });
    expect(first.dumpState()).to.deep.equal({ crashes: [], quarantined: [] });
  });
});
