import { createResultError } from "@crocussail/protocol";
import { expect } from "chai";
import { Left, Right } from "purify-ts";
import { createManualClock } from "../common/create_manual_clock.ts";
import type { PeerHandler, PeerTransport } from "../peers/mod.ts";
import { createSettingsState, createSettingsView } from "../settings/mod.ts";
import { createInMemoryEngine } from "./create_in_memory_engine.ts";
import { createPlacement } from "./create_placement.ts";
import type { PlacementOptions } from "./create_placement.ts";

const HOSTS = ["h1", "h2", "h3"];
const TICK_MS = 1_000;
/**
 * Maximum wait for a slot after a start or the loss of the host that owns the slots, with a margin
 * of some seconds.
 */
const SLOT_WAIT_MS = 170_000;

/** Creates three hosts of one data centre, each with separate settings, and one engine. */
const makeFleet = (checksFencing: boolean) => {
  const clock = createManualClock();
  const engine = createInMemoryEngine([], { checksFencing });
  const live = new Set(HOSTS);
  const handlers = new Map<string, PeerHandler>();
  const events: string[] = [];
  const hosts = HOSTS.map((name) => {
    const state = createSettingsState();
    const peers: PeerTransport = {
      sendMessage: () => {},
      requestReply: (to, _channel, message) =>
        Promise.resolve(
          live.has(to) && live.has(name)
            ? Right(handlers.get(to)?.(name, message))
            : Left(createResultError("placementUnknown", to)),
        ),
      registerHandler: (_channel, handler) => {
        handlers.set(name, handler);
      },
    };
    const context = {
      clock,
      peers,
      logger: { writeEvent: (event: string) => events.push(event) },
      config: { host: { name, dataCentre: "suva" } },
    } as unknown as PlacementOptions["context"];
    const placement = createPlacement({
      context,
      settings: createSettingsView(state, () => () => {}),
      membership: { listLiveHosts: () => [...live], isViewFresh: () => true },
      isSettingsReady: () => live.has(name),
      client: {
        fetchPlacementStatus: () =>
          Promise.resolve(
            Right({ fence: engine.fence, capacity: engine.capacity, copies: engine.copies }),
          ),
        sendPlacementOrder: (_url, order) => Promise.resolve(engine.applyOrder(order)),
      },
    });
    return { name, state, placement };
  });
  let revision = 0;
  const publish = (path: string, text: string, names: readonly string[] = HOSTS) => {
    revision += 1;
    hosts.filter((host) => names.includes(host.name))
      .forEach((host) => host.state.applyUpdate({ path, text, revision }));
  };
  HOSTS.forEach((name, index) =>
    publish(
      `hosts/${name}`,
      `address = 10.0.0.${index + 1}\ncaller_port = 1\npeer_port = 2\ndata_centre = suva\n`,
    )
  );
  publish(
    "upstreams/e1",
    `kind = engine\nurl = http://10.1.0.1\ndata_centre = suva\nchecks_fencing = ${checksFencing}\n`,
  );
  publish("models/m", "version = 1\n");
  hosts.forEach((host) => host.placement.start());
  const run = async (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      clock.advance(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  /** Finds the live host whose state dump lists the engine as owned. */
  const findOwner = () =>
    hosts.find((host) => {
      const { owned } = host.placement.dumpState() as { owned: Record<string, unknown> };
      return live.has(host.name) && "e1" in owned;
    })?.name ?? "";
  const listServing = () =>
    engine.copies.filter((copy) => copy.isServing).map((copy) => `${copy.model}@${copy.version}`);
  return { engine, live, publish, run, findOwner, listServing, events };
};

describe("placement of three hosts", () => {
  for (const checksFencing of [true, false]) {
    it(
      `places a new version after the owner is lost, and keeps it when the owner returns (engine ${
        checksFencing ? "checks" : "ignores"
      } fencing)`,
      async () => {
        const fleet = makeFleet(checksFencing);
        await fleet.run(SLOT_WAIT_MS);
        expect(fleet.listServing()).to.deep.equal(["m@1"]);
        const lost = fleet.findOwner();
        fleet.live.delete(lost);
        fleet.publish("models/m", "version = 2\n", HOSTS.filter((name) => name !== lost));
        await fleet.run(SLOT_WAIT_MS);
        expect(fleet.listServing()).to.deep.equal(["m@2"]);
        fleet.live.add(lost);
        await fleet.run(30_000);
        expect(fleet.listServing()).to.deep.equal(["m@2"]);
        expect(fleet.engine.orders).to.deep.equal([
          "load m@1",
          "serve m@1",
          "load m@2",
          "serve m@2",
          "unload m@1",
        ]);
      },
    );
  }
});
