import { expect } from "chai";
import fc from "fast-check";
import { pack, unpack } from "msgpackr";
import { createHmac } from "node:crypto";
import { request } from "undici";
import { WebSocket } from "ws";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

const RUNS = 40;
const SEED = 11;
const FLEET_KEY = "local-fleet-key-for-one-machine-only";

interface Challenge {
  readonly type: "challenge";
  readonly nonce: string;
}

/** Opens a connection, responds to the challenge and resolves with the messages received. */
function runHandshake(
  port: number,
  answer: (challenge: Challenge) => Uint8Array | string,
): Promise<unknown[]> {
  return new Promise((resolve) => {
    const received: unknown[] = [];
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    socket.on("message", (data) => {
      const message = unpack(data as Uint8Array);
      received.push(message);
      if (received.length === 1) {
        socket.send(answer(message as Challenge));
        return;
      }
      socket.close();
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
  });
}

function createProof(challenge: Challenge, options: { key: string; nonce?: string }): Uint8Array {
  const nonce = "0".repeat(32);
  const signed = options.nonce ?? challenge.nonce;
  const text = JSON.stringify(["peer", "dialer", "host-2", "host-1", signed, nonce]);
  const signature = createHmac("sha256", options.key).update(text).digest("base64url").slice(0, 22);
  return pack({ type: "proof", host: "host-2", target: "host-1", nonce, signature });
}

describe("hostile peers", () => {
  let fleet: LocalFleet;
  let port: number;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 3 });
    port = fleet.daemons[0]?.ports.peer ?? 0;
  });

  after(() => fleet.close());

  const expectAlive = async () => {
    const answer = await request(`${fleet.daemons[0]?.url}/v1/entry`);
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
  };

  it("accepts a peer that has the fleet key", async () => {
    const received = await runHandshake(
      port,
      (challenge) => createProof(challenge, { key: FLEET_KEY }),
    );
    expect(received[1]).to.include({ type: "welcome" });
  });

  const proofs: readonly {
    title: string;
    answer: (challenge: Challenge) => Uint8Array | string;
  }[] = [
    {
      title: "a proof with another key",
      answer: (challenge) => createProof(challenge, { key: "x".repeat(32) }),
    },
    {
      title: "the proof of an earlier handshake",
      answer: (challenge) => createProof(challenge, { key: FLEET_KEY, nonce: "1".repeat(32) }),
    },
    { title: "a text frame", answer: () => "hello" },
    { title: "an empty frame", answer: () => new Uint8Array() },
    {
      title: "a proof with a host of the wrong type",
      answer: () => pack({ type: "proof", host: 7 }),
    },
    {
      title: "a frame before the handshake",
      answer: () => pack([2, 1, 1]),
    },
  ];
  for (const { title, answer } of proofs) {
    it(`closes a connection that sends ${title}`, async () => {
      expect(await runHandshake(port, answer)).to.have.length(1);
      await expectAlive();
    });
  }

  it("closes a connection that sends arbitrary bytes instead of the proof", async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 300 }), async (bytes) => {
        expect(await runHandshake(port, () => bytes)).to.have.length(1);
      }),
      { numRuns: RUNS, seed: SEED },
    );
    await expectAlive();
  });

  it("keeps serving after arbitrary frames of a peer that has the key", async () => {
    const body = fc.oneof(fc.anything({ maxDepth: 3 }), fc.string(), fc.uint8Array());
    const channel = fc.constantFrom(
      "orders",
      "heartbeats",
      "notices",
      "settings",
      "admission",
      "x",
    );
    await fc.assert(
      fc.asyncProperty(fc.array(fc.tuple(channel, body), { maxLength: 5 }), async (frames) => {
        await sendFrames(port, frames);
      }),
      { numRuns: RUNS, seed: SEED },
    );
    await expectAlive();
  });
});

function sendFrames(port: number, frames: readonly (readonly [string, unknown])[]): Promise<void> {
  return new Promise((resolve) => {
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    let isAuthenticated = false;
    socket.on("message", (data) => {
      if (isAuthenticated) {
        return;
      }
      const message = unpack(data as Uint8Array) as { type: string };
      if (message.type === "challenge") {
        socket.send(createProof(message as Challenge, { key: FLEET_KEY }));
        return;
      }
      isAuthenticated = true;
      frames.forEach(([channel, body], id) => {
        socket.send(pack([0, channel, normalizeBody(body)]));
        socket.send(pack([1, channel, id, normalizeBody(body)]));
      });
      socket.close();
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve());
  });
}

/** Returns the body as msgpack decodes it, or null when msgpack cannot encode it. */
function normalizeBody(body: unknown): unknown {
  try {
    return unpack(pack(body));
  } catch {
    return null;
  }
}
