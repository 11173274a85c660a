import type { ServiceClient } from "@crocussail/daemon";
import { expect } from "chai";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";
import { fetchKeyPrefix } from "./fetch_key_prefix.ts";
import { runBooking } from "./run_booking.ts";
import { sendBooking } from "./send_booking.ts";

describe("orders over sockets", () => {
  let fleet: LocalFleet;
  let holdCalls: Promise<void> | undefined;
  let onDispatch = () => {};

  /** Holds calls between the grant and the dispatch, as a paused process would. */
  const wrapService = (client: ServiceClient): ServiceClient => ({
    callService: async (url, call) => {
      onDispatch();
      await holdCalls;
      return client.callService(url, call);
    },
  });

  beforeEach(async () => {
    holdCalls = undefined;
    onDispatch = () => {};
    fleet = await createLocalFleet({ hosts: 5, wrapService });
  });

  afterEach(() => fleet.close());

  const countRuns = (order: string) => fleet.service.listRuns().get(order) ?? 0;

  it("runs an order once that three hosts get at the same moment", async () => {
    const prefix = await fetchKeyPrefix(fleet, 0);
    for (let index = 0; index < 10; index++) {
      const body = { order: `race-${index}` };
      const key = `${prefix}${body.order}`;
      const ends = await Promise.all(
        [0, 1, 2].map((host) => runBooking({ fleet, key, body, hosts: [host] })),
      );
      expect(ends.map((end) => end.type)).to.deep.equal(["completed", "completed", "completed"]);
      expect(new Set(ends.map((end) => end.body)).size).to.equal(1);
      expect(countRuns(body.order)).to.equal(1);
    }
  });

  it("ends every order while each daemon in turn is replaced between two attempts", async () => {
    for (const index of [0, 1, 2, 3, 4]) {
      const prefix = await fetchKeyPrefix(fleet, (index + 1) % 5);
      const done = { order: `done-${index}` };
      const key = `${prefix}${done.order}`;
      const first = await sendBooking(fleet, (index + 1) % 5, { key, body: done });
      await fleet.replaceDaemon(index);
      const repeat = await runBooking({ fleet, key, body: done, hosts: [(index + 2) % 5] });
      const fresh = { order: `fresh-${index}` };
      const freshKey = `${prefix}${fresh.order}`;
      const end = await runBooking({ fleet, key: freshKey, body: fresh, hosts: [index] });
      expect(repeat.body).to.equal(first?.text);
      expect(end.type).to.equal("completed");
      expect([countRuns(done.order), countRuns(fresh.order)]).to.deep.equal([1, 1]);
    }
  });

  it("never runs an order again whose claimant was replaced after its grant", async () => {
    let resume = () => {};
    holdCalls = new Promise((resolve) => {
      resume = resolve;
    });
    const dispatched = new Promise<void>((resolve) => {
      onDispatch = resolve;
    });
    const body = { order: "orphan" };
    const key = `${await fetchKeyPrefix(fleet, 1)}${body.order}`;
    const first = sendBooking(fleet, 0, { key, body });
    await dispatched;
    await fleet.replaceDaemon(0);
    await first;
    const repeat = await runBooking({ fleet, key, body, hosts: [1] });
    resume();
    holdCalls = undefined;
    expect(repeat.type).to.equal("unknown");
    expect(await runBooking({ fleet, key, body, hosts: [2] })).to.deep.equal(repeat);
    expect(countRuns("orphan")).to.be.at.most(1);
  });

  it("says unknown after the first byte, and runs the key never again", async () => {
    const body = { order: "broken", fault: "close" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const ends = [];
    for (const host of [0, 1, 2]) {
      ends.push((await runBooking({ fleet, key, body, hosts: [host] })).type);
    }
    expect(ends).to.deep.equal(["unknown", "unknown", "unknown"]);
    expect(countRuns("broken")).to.equal(1);
  });

  it("proves that nothing ran when every connection is refused", async () => {
    await fleet.service.close();
    const body = { order: "refused" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const first = await sendBooking(fleet, 0, { key, body });
    const repeat = await sendBooking(fleet, 1, { key, body });
    expect([first?.code, first?.ran]).to.deep.equal([3003, "no"]);
    expect([repeat?.code, repeat?.ran]).to.deep.equal([3003, "no"]);
    expect(JSON.parse(repeat?.text ?? "{}").key_prefix).to.match(/^ck1\./);
  });

  it("guards a call with a key although the settings do not ask for one any more", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}unruled`;
    const body = { order: "unruled" };
    await sendBooking(fleet, 0, { key, body });
    fleet.settingsService.putValue("fleet/services", "[stock]\nnon_repeatable =\n");
    const repeats = await Promise.all(
      [1, 2].map((host) => sendBooking(fleet, host, { key, body })),
    );
    expect(repeats.map((repeat) => repeat?.status)).to.deep.equal([201, 201]);
    expect(countRuns("unruled")).to.equal(1);
  });

  it("says unknown to a keyed call of a team without access", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}foreign`;
    const call = { key, body: { order: "foreign" }, apiKey: "nobody" };
    const answer = await sendBooking(fleet, 0, call);
    expect([answer?.status, answer?.ran]).to.deep.equal([401, "unknown"]);
  });

  it("refuses a key that was used for another body", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}reused`;
    await sendBooking(fleet, 0, { key, body: { order: "reused" } });
    const answer = await sendBooking(fleet, 1, { key, body: { order: "other" } });
    expect([answer?.status, answer?.code, answer?.ran]).to.deep.equal([422, 3005, "no"]);
    expect(countRuns("other")).to.equal(0);
  });

  it("tells a repeat that the order ran when its answer was too large to keep", async () => {
    const body = { order: "large", fault: "large" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const first = await sendBooking(fleet, 0, { key, body });
    const repeat = await sendBooking(fleet, 1, { key, body });
    expect(first?.text.length).to.be.greaterThan(200_000);
    expect([repeat?.code, repeat?.ran]).to.deep.equal([3008, "yes"]);
    expect(countRuns("large")).to.equal(1);
  });

  it("keeps keys and their outcomes through a restart in good order", async () => {
    const prefix = await fetchKeyPrefix(fleet, 0);
    const body = { order: "kept" };
    const first = await sendBooking(fleet, 3, { key: `${prefix}kept`, body });
    for (const index of [0, 1, 2]) {
      await fleet.daemons[index]?.daemon.shutdown();
      await fleet.replaceDaemon(index);
    }
    const repeat = await runBooking({ fleet, key: `${prefix}kept`, body, hosts: [4, 3] });
    expect(repeat.body).to.equal(first?.text);
    expect(countRuns("kept")).to.equal(1);
  });
});
