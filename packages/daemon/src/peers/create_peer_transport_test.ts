import { expect } from "chai";
import { createSystemClock } from "../adapters/create_system_clock.ts";
import { createSystemRandom } from "../adapters/create_system_random.ts";
import { createPeerTransport } from "./create_peer_transport.ts";

const CONNECT_MS = 200;
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("createPeerTransport", () => {
  const ports = new Map<string, number>();
  const create = (host: string) =>
    createPeerTransport({
      host,
      fleetKeys: ["a key of the fleet that is long enough"],
      clock: createSystemClock(),
      random: createSystemRandom(),
      logger: { writeEvent: () => {} },
      findAddress: (target) => ({ address: "127.0.0.1", port: ports.get(target) ?? 0 }),
    });

  // Guards against a process that stays after its shutdown because of a late message to a peer.
  it("opens no connection after it has been closed", async () => {
    const left = create("left");
    const right = create("right");
    ports.set("left", await left.startListening("127.0.0.1", 0));
    ports.set("right", await right.startListening("127.0.0.1", 0));
    const received: unknown[] = [];
    right.registerHandler("test", (_from, body) => {
      received.push(body);
      return Promise.resolve();
    });
    left.sendMessage("right", "test", "before");
    await sleep(CONNECT_MS);
    await left.close();
    await sleep(CONNECT_MS);
    left.sendMessage("right", "test", "after");
    await sleep(CONNECT_MS);
    expect(received).to.deep.equal(["before"]);
    expect(right.dumpState()).to.include({ accepted: 0 });
    expect(left.dumpState()).to.include({ dialed: 0 });
    await right.close();
  });
});
