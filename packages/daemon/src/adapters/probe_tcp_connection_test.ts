import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { probeTcpConnection } from "./probe_tcp_connection.ts";

const TIMES = { timeoutMs: 500, holdMs: 50 };

describe("probeTcpConnection", () => {
  let server: Server | undefined;
  afterEach(() => server?.close());

  const listen = async (accept: (socket: Socket) => void): Promise<string> => {
    const created = createServer(accept);
    server = created;
    await new Promise<void>((resolve) => created.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(created.address() as AddressInfo).port}`;
  };

  it("reaches an address that keeps the connection", async () => {
    expect(await probeTcpConnection(await listen(() => {}), TIMES)).to.equal(true);
  });

  it("does not reach an address that resets or closes the connection", async () => {
    const resetting = await listen((socket) => socket.resetAndDestroy());
    expect(await probeTcpConnection(resetting, TIMES)).to.equal(false);
    server?.close();
    const closing = await listen((socket) => socket.end());
    expect(await probeTcpConnection(closing, TIMES)).to.equal(false);
  });

  it("does not take a timer that fires late for an address that cannot be reached", async () => {
    const address = await listen(() => {});
    // The event loop runs due timers next, before it polls for connections.
    await new Promise((resolve) => setImmediate(resolve));
    const probe = probeTcpConnection(address, TIMES);
    const untilMs = performance.now() + 700;
    while (performance.now() < untilMs) {
      // blocks the event loop
    }
    expect(await probe).to.equal(true);
  });

  it("does not reach an address at which nothing listens", async () => {
    const address = await listen(() => {});
    await new Promise((resolve) => server?.close(resolve));
    expect(await probeTcpConnection(address, TIMES)).to.equal(false);
  });
});
