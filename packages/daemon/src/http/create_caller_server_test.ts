import { expect } from "chai";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import { createManualClock } from "../common/create_manual_clock.ts";
import { createCallerServer } from "./create_caller_server.ts";
import type { CallerServerOptions } from "./create_caller_server.ts";

const readTestData = (name: string) =>
  readFileSync(new URL(`../../testdata/${name}`, import.meta.url), "utf8");

interface RecordedEntry {
  readonly name: string;
  readonly tags: Readonly<Record<string, string>>;
}

function createServer(recorded: RecordedEntry[], options: Partial<CallerServerOptions> = {}) {
  const server = createCallerServer({
    clock: createManualClock(),
    journal: {
      recordDecision: (request, _slice, decision, fields) =>
        recorded.push({ name: `${request} ${decision}`, tags: { code: String(fields?.["code"]) } }),
      countRequests: () => 0,
      listEntries: () => [],
    },
    logger: { writeEvent: () => {} },
    metrics: {
      increment: (name, _value, tags = {}) => recorded.push({ name, tags }),
      gauge: () => {},
      distribution: () => {},
    },
    readMaxBodyBytes: () => 64,
    createRequestId: () => "request-1",
    ...options,
  });
  server.post("/echo", (call) => call.body);
  server.get("/fault", () => {
    throw new Error("secret detail");
  });
  return server;
}

describe("createCallerServer", () => {
  it("responds over TLS with the configured certificate", async () => {
    const cert = readTestData("tls_certificate.pem");
    const server = createServer([], { tls: { cert, key: readTestData("tls_key.pem") } });
    const url = await server.listen({ host: "127.0.0.1", port: 0 });
    const dispatcher = new Agent({ connect: { ca: cert } });
    const answer = await request(`${url}/echo`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: '{"a":1}',
      dispatcher,
    });
    expect(url).to.match(/^https:/);
    expect(await answer.body.json()).to.deep.equal({ a: 1 });
    await dispatcher.destroy();
    await server.close();
  });

  const bodies: readonly { title: string; bytes: number; status: number }[] = [
    { title: "a body at the active limit", bytes: 64, status: 200 },
    { title: "a body above the active limit", bytes: 65, status: 413 },
  ];
  for (const { title, bytes, status } of bodies) {
    it(`responds to ${title} with ${status}`, async () => {
      const server = createServer([]);
      const payload = `"${"x".repeat(bytes - 2)}"`;
      const answer = await server.inject({
        method: "POST",
        url: "/echo",
        headers: { "content-type": "application/json" },
        payload,
      });
      expect(answer.statusCode).to.equal(status);
    });
  }

  it("returns the request id but not the error message of a failed handler", async () => {
    const answer = await createServer([]).inject({ method: "GET", url: "/fault" });
    expect(answer.statusCode).to.equal(500);
    expect(answer.headers["x-request-id"]).to.equal("request-1");
    expect(answer.json()).to.include({ code: 1006, ran: "unknown", detail: "request request-1" });
    expect(answer.body).not.to.contain("secret detail");
  });

  const slowSenders: readonly { title: string; bytes: string }[] = [
    { title: "head", bytes: "POST /echo HTTP/1.1\r\nhost: a\r\n" },
    {
      title: "body",
      bytes: "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n" +
        "content-length: 9\r\n\r\n{",
    },
  ];
  for (const { title, bytes } of slowSenders) {
    it(`closes a connection whose request ${title} does not arrive in time`, async () => {
      const limits = { headersTimeoutMs: 50, requestTimeoutMs: 60, checkIntervalMs: 10 };
      const server = createServer([], { limits });
      await server.listen({ host: "127.0.0.1", port: 0 });
      const { port } = server.server.address() as AddressInfo;
      const answer = await new Promise<string>((resolve) => {
        const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
        let received = "";
        socket.on("data", (chunk) => received += String(chunk));
        socket.on("close", () => resolve(received));
      });
      expect(answer).to.match(/^HTTP\/1.1 408 /);
      await server.close();
    });
  }

  it("counts each response by route and status", async () => {
    const recorded: RecordedEntry[] = [];
    const server = createServer(recorded);
    const url = await server.listen({ host: "127.0.0.1", port: 0 });
    const answer = await request(`${url}/nowhere/at/all`);
    await answer.body.dump();
    await server.close();
    expect(recorded).to.deep.equal([
      { name: "request-1 problem", tags: { code: "1003" } },
      { name: "requests", tags: { route: "none", status: "404" } },
    ]);
  });
});
