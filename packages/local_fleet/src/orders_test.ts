import type { ServiceClient } from "@crocussail/daemon";
import { expect } from "chai";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";
import { fetchKeyPrefix } from "./fetch_key_prefix.ts";
import { sendBookingWithRetries } from "./send_booking_with_retries.ts";
import { sendBooking } from "./send_booking.ts";

describe("orders over sockets", () => {
  let fleet: LocalFleet;
  let dispatchGate: Promise<void> | undefined;
  let onDispatch = () => {};

  /** Delays calls between the grant and the dispatch, as a pause of the process would. */
  const wrapService = (client: ServiceClient): ServiceClient => ({
    callService: async (url, call) => {
      onDispatch();
      await dispatchGate;
      return client.callService(url, call);
    },
  });

  beforeEach(async () => {
    dispatchGate = undefined;
    onDispatch = () => {};
    fleet = await createLocalFleet({ hosts: 5, wrapService });
  });

  afterEach(() => fleet.close());

  const countRuns = (order: string) => fleet.service.getExecutionCounts().get(order) ?? 0;

  it("executes an order once when three hosts receive it at the same time", async () => {
    const prefix = await fetchKeyPrefix(fleet, 0);
    for (let index = 0; index < 10; index++) {
      const body = { order: `race-${index}` };
      const key = `${prefix}${body.order}`;
      const ends = await Promise.all(
        [0, 1, 2].map((host) => sendBookingWithRetries({ fleet, key, body, hosts: [host] })),
      );
      expect(ends.map((end) => end.type)).to.deep.equal(["completed", "completed", "completed"]);
      expect(new Set(ends.map((end) => end.body)).size).to.equal(1);
      expect(countRuns(body.order)).to.equal(1);
    }
  });

  it("completes every order while each daemon is replaced between two attempts", async () => {
    for (const index of [0, 1, 2, 3, 4]) {
      const prefix = await fetchKeyPrefix(fleet, (index + 1) % 5);
      const done = { order: `done-${index}` };
      const key = `${prefix}${done.order}`;
      const first = await sendBooking(fleet, (index + 1) % 5, { key, body: done });
      await fleet.replaceDaemon(index);
      const retry = await sendBookingWithRetries({
        fleet,
        key,
        body: done,
        hosts: [(index + 2) % 5],
      });
      const fresh = { order: `fresh-${index}` };
      const freshKey = `${prefix}${fresh.order}`;
      const end = await sendBookingWithRetries({
        fleet,
        key: freshKey,
        body: fresh,
        hosts: [index],
      });
      expect(retry.body).to.equal(first?.text);
      expect(end.type).to.equal("completed");
      expect([countRuns(done.order), countRuns(fresh.order)]).to.deep.equal([1, 1]);
    }
  });

  it("never executes an order again whose claimant was replaced after the grant", async () => {
    let resume = () => {};
    dispatchGate = new Promise((resolve) => {
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
    const retry = await sendBookingWithRetries({ fleet, key, body, hosts: [1] });
    resume();
    dispatchGate = undefined;
    expect(retry.type).to.equal("unknown");
    expect(await sendBookingWithRetries({ fleet, key, body, hosts: [2] })).to.deep.equal(retry);
    expect(countRuns("orphan")).to.be.at.most(1);
  });

  it("reports unknown when a call fails after its first byte, and never repeats it", async () => {
    const body = { order: "broken", fault: "close" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const types = [];
    for (const host of [0, 1, 2]) {
      types.push((await sendBookingWithRetries({ fleet, key, body, hosts: [host] })).type);
    }
    expect(types).to.deep.equal(["unknown", "unknown", "unknown"]);
    expect(countRuns("broken")).to.equal(1);
  });

  it("reports that nothing was executed when every connection is refused", async () => {
    await fleet.service.close();
    const body = { order: "refused" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const first = await sendBooking(fleet, 0, { key, body });
    const retry = await sendBooking(fleet, 1, { key, body });
    expect([first?.code, first?.ran]).to.deep.equal([3003, "no"]);
    expect([retry?.code, retry?.ran]).to.deep.equal([3003, "no"]);
    expect(JSON.parse(retry?.text ?? "{}").key_prefix).to.match(/^ck1\./);
  });

  it("deduplicates a call with a key after the settings stop requiring one", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}rule-removed`;
    const body = { order: "rule-removed" };
    await sendBooking(fleet, 0, { key, body });
    fleet.settingsService.putValue("fleet/services", "[stock]\nnon_repeatable =\n");
    const repeats = await Promise.all(
      [1, 2].map((host) => sendBooking(fleet, host, { key, body })),
    );
    expect(repeats.map((repeat) => repeat?.status)).to.deep.equal([201, 201]);
    expect(countRuns("rule-removed")).to.equal(1);
  });

  it("reports an unknown outcome for a call with a key but an invalid API key", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}foreign`;
    const call = { key, body: { order: "foreign" }, apiKey: "nobody" };
    const answer = await sendBooking(fleet, 0, call);
    expect([answer?.status, answer?.ran]).to.deep.equal([401, "unknown"]);
  });

  it("refuses a key that was already used with another body", async () => {
    const key = `${await fetchKeyPrefix(fleet, 0)}reused`;
    await sendBooking(fleet, 0, { key, body: { order: "reused" } });
    const answer = await sendBooking(fleet, 1, { key, body: { order: "other" } });
    expect([answer?.status, answer?.code, answer?.ran]).to.deep.equal([422, 3005, "no"]);
    expect(countRuns("other")).to.equal(0);
  });

  it("tells a retry that an order was executed if its response is too large to store", async () => {
    const body = { order: "large", fault: "large" };
    const key = `${await fetchKeyPrefix(fleet, 0)}${body.order}`;
    const first = await sendBooking(fleet, 0, { key, body });
    const retry = await sendBooking(fleet, 1, { key, body });
    expect(first?.text.length).to.be.greaterThan(200_000);
    expect([retry?.code, retry?.ran]).to.deep.equal([3008, "yes"]);
    expect(countRuns("large")).to.equal(1);
  });

  it("keeps keys and their outcomes through graceful restarts of the daemons", async () => {
    const prefix = await fetchKeyPrefix(fleet, 0);
    const body = { order: "kept" };
    const first = await sendBooking(fleet, 3, { key: `${prefix}kept`, body });
    for (const index of [0, 1, 2]) {
      await fleet.daemons[index]?.daemon.shutdown();
      await fleet.replaceDaemon(index);
    }
    const retry = await sendBookingWithRetries({
      fleet,
      key: `${prefix}kept`,
      body,
      hosts: [4, 3],
    });
    expect(retry.body).to.equal(first?.text);
    expect(countRuns("kept")).to.equal(1);
  });
});
