import { stateDumpSchema } from "@crocussail/protocol";
import { expect } from "chai";
import fc from "fast-check";
import { connect } from "node:net";
import { request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

const RUNS = 60;
const SEED = 7;

/** Sends raw bytes, half-closes the connection and returns the complete response. */
function sendRaw(port: number, bytes: string | Uint8Array): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
    const chunks: string[] = [];
    socket.setEncoding("utf8");
    socket.on("data", (chunk) => chunks.push(String(chunk)));
    socket.on("error", () => {});
    socket.on("close", () => resolve(chunks.join("")));
  });
}

describe("hostile callers", () => {
  let fleet: LocalFleet;
  let url: string;
  let port: number;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 3 });
    url = fleet.daemons[0]?.url ?? "";
    port = fleet.daemons[0]?.ports.caller ?? 0;
  });

  after(() => fleet.close());

  const headers = () => ({
    authorization: `Bearer ${fleet.apiKey}`,
    "content-type": "application/json",
  });
  const countExecutedOrders = () => [...fleet.service.getExecutionCounts().values()].length;
  const expectAlive = async () => {
    const answer = await request(`${url}/v1/entry`);
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
  };

  const nested = "[".repeat(200_000) + "]".repeat(200_000);
  const chat = (content: unknown) => JSON.stringify({ model: "plan-70b", messages: content });
  const bodies: readonly { title: string; body: string | Uint8Array; status: number }[] = [
    { title: "invalid JSON", body: "{", status: 400 },
    { title: "an empty body", body: "", status: 400 },
    { title: "messages of the wrong type", body: chat(7), status: 400 },
    { title: "an empty list of messages", body: chat([]), status: 400 },
    { title: "an object as the model", body: '{"model":{"a":1},"messages":[]}', status: 400 },
    { title: "a __proto__ member", body: '{"__proto__":{"model":"x"}}', status: 400 },
    { title: "deep nesting", body: nested, status: 400 },
    { title: "invalid UTF-8", body: new Uint8Array([0x22, 0xff, 0xfe, 0x22]), status: 400 },
    { title: "a negative max_tokens", body: '{"model":"plan-70b","max_tokens":-1}', status: 400 },
    { title: "a body over the limit", body: "x".repeat(1_048_577), status: 413 },
  ];
  for (const { title, body, status } of bodies) {
    it(`answers ${title} with a problem response that has a result code`, async () => {
      const answer = await request(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: headers(),
        body,
      });
      const problem = await answer.body.json() as { code: number; ran: string };
      expect(answer.statusCode).to.equal(status);
      expect(problem.code).to.be.within(1_000, 1_999);
      expect(problem.ran).to.equal("no");
      await expectAlive();
    });
  }

  const heads: readonly { title: string; bytes: string | Uint8Array; expected: RegExp }[] = [
    {
      title: "random bytes",
      bytes: new Uint8Array([0, 1, 2, 255, 254]),
      expected: /^HTTP\/1.1 400/,
    },
    {
      title: "a truncated request head",
      bytes: "POST /v1/chat/comp",
      expected: /^(HTTP\/1.1 400|$)/,
    },
    {
      title: "an oversized request head",
      bytes: `GET /v1/entry HTTP/1.1\r\nhost: a\r\nx: ${"a".repeat(40_000)}\r\n\r\n`,
      expected: /^HTTP\/1.1 431/,
    },
    {
      title: "two different content lengths",
      bytes: "POST /v1/entry HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
      expected: /^HTTP\/1.1 400/,
    },
  ];
  for (const { title, bytes, expected } of heads) {
    it(`refuses ${title}`, async () => {
      expect(await sendRaw(port, bytes)).to.match(expected);
      await expectAlive();
    });
  }

  it("answers any forged resume position with status 400", async () => {
    const position = fc.oneof(
      fc.string({ unit: "grapheme-ascii", maxLength: 200 }),
      fc.base64String({ maxLength: 400 }).map((text) => `${text}.${"A".repeat(22)}:3`),
    );
    await fc.assert(
      fc.asyncProperty(position, async (id) => {
        const answer = await request(`${url}/v1/streams/resume`, {
          headers: { ...headers(), "last-event-id": id },
        });
        const problem = await answer.body.json() as { ran: string };
        expect(answer.statusCode).to.equal(400);
        expect(problem.ran).to.equal("no");
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it("executes nothing for any forged idempotency key", async () => {
    const countBefore = countExecutedOrders();
    const key = fc.oneof(
      fc.string({ unit: "grapheme-ascii", minLength: 1, maxLength: 200 }),
      fc.base64String({ maxLength: 400 }).map((text) => `ck1.${text}.${"A".repeat(22)}.id`),
    );
    await fc.assert(
      fc.asyncProperty(key, async (text) => {
        const answer = await request(`${url}/v1/services/stock/bookings`, {
          method: "POST",
          headers: { ...headers(), "idempotency-key": text },
          body: '{"order":"forged"}',
        });
        const problem = await answer.body.json() as { code: number; ran: string };
        expect(answer.statusCode).to.be.oneOf([400, 428]);
        expect(problem.code).to.be.within(3_000, 3_999);
        expect(problem.ran).to.equal("no");
      }),
      { numRuns: RUNS, seed: SEED },
    );
    expect(countExecutedOrders()).to.equal(countBefore);
  });

  it("answers every wrong API key with the same status", async () => {
    await fc.assert(
      fc.asyncProperty(fc.string({ unit: "grapheme-ascii", maxLength: 100 }), async (key) => {
        const answer = await request(`${url}/v1/chat/completions`, {
          method: "POST",
          headers: { ...headers(), authorization: `Bearer ${key}` },
          body: chat([{ role: "user", content: "a" }]),
        });
        await answer.body.dump();
        expect(answer.statusCode).to.equal(401);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it("refuses requests to the operator listener without the operator token", async () => {
    const operator = `http://127.0.0.1:${fleet.daemons[0]?.ports.operator}`;
    for (const path of ["/state", "/explain/x", "/healthx", "//health/../state"]) {
      const answer = await request(`${operator}${path}`, {
        headers: { authorization: `Bearer ${fleet.apiKey}` },
      });
      await answer.body.dump();
      expect(answer.statusCode, path).to.equal(401);
    }
  });

  it("includes no secret in the state dump", async () => {
    const operator = `http://127.0.0.1:${fleet.daemons[0]?.ports.operator}`;
    const answer = await request(`${operator}/state`, {
      headers: { authorization: `Bearer ${fleet.operatorToken}` },
    });
    const text = await answer.body.text();
    expect(answer.statusCode).to.equal(200);
    expect(text).not.to.contain(fleet.operatorToken);
    expect(text).not.to.contain("local-fleet-key");
    expect(text).not.to.match(/[0-9a-f]{64}/);
  });

  it("includes every slice in the state dump", async () => {
    const operator = `http://127.0.0.1:${fleet.daemons[0]?.ports.operator}`;
    const answer = await request(`${operator}/state`, {
      headers: { authorization: `Bearer ${fleet.operatorToken}` },
    });
    const { slices } = stateDumpSchema.parse(await answer.body.json());
    expect(Object.keys(slices)).to.have.members([
      "peers",
      "settings",
      "membership",
      "entry",
      "admission",
      "generations",
      "orders",
      "shutdown",
      "placement",
      "journal",
    ]);
  });
});
