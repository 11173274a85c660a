import { expect } from "chai";
import { createServer, get } from "node:http";
import type { RequestListener, Server } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createSystemClock } from "../adapters/create_system_clock.ts";
import { createConnectionGuard } from "./create_connection_guard.ts";

const MIB = 1_048_576;
const CROWD = 120;
const LINES = "a:\r\n".repeat(3_000);

describe("createConnectionGuard", function () {
  this.timeout(20_000);
  let server: Server;
  let closed: Record<string, number>;
  let sockets: Socket[];
  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
    server.closeAllConnections();
  });

  const start = async (
    handle: (...received: [...Parameters<RequestListener>, () => void]) => void,
  ) => {
    closed = {};
    sockets = [];
    const guard = createConnectionGuard({
      clock: createSystemClock(),
      logger: { writeEvent: () => {} },
      metrics: {
        increment: (_name, value = 1, { reason = "" } = {}) => {
          closed[reason] = (closed[reason] ?? 0) + value;
        },
        gauge: () => {},
        distribution: () => {},
      },
      descriptors: 4_096,
      maxUnsentBytes: 8 * MIB,
      releases: { recordReleased: () => {} },
    });
    server = createServer(
      { maxHeaderSize: 65_536, requireHostHeader: false },
      guard.guardRequests((request, response) =>
        handle(request, response, () => guard.recordWritten(request.socket, 0))
      ),
    );
    server.maxHeadersCount = 0;
    guard.watch(server, "callers");
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  };
  const getPort = () => (server.address() as AddressInfo).port;
  /** Opens connections, and resolves when each is closed or has been quiet. */
  const sendCrowd = async (text: string) => {
    const crowd = Array.from({ length: CROWD }, () => {
      const socket = connect(getPort(), "127.0.0.1");
      socket.on("error", () => {}); // the guard resets it
      socket.write(text);
      return socket;
    });
    sockets.push(...crowd);
    await new Promise((resolve) => setTimeout(resolve, 300));
    crowd.forEach((socket) => socket.destroy());
    await new Promise((resolve) => setTimeout(resolve, 50));
  };
  const request = (headers: Record<string, string> = {}) =>
    new Promise<number>((resolve, reject) => {
      get({ port: getPort(), host: "127.0.0.1", headers, agent: false }, (response) => {
        response.resume();
        response.once("end", () => resolve(response.statusCode ?? 0));
      }).once("error", reject);
    });

  it("accepts large heads again after crowds with large heads and trailers", async () => {
    await start((incoming, response) => {
      incoming.resume();
      response.end();
    });
    for (let round = 0; round < 4; round++) {
      await sendCrowd(`GET / HTTP/1.1\r\n${LINES}`);
      await sendCrowd(
        `POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${LINES}`,
      );
    }
    expect(closed["heads"]).to.be.above(0);
    expect(await request({ long: "x".repeat(12_000) })).to.equal(200);
  });

  it("serves large responses again after a crowd that has read none", async () => {
    const body = Buffer.alloc(4 * MIB, "x");
    await start((_incoming, response, recordWritten) => {
      response.end(body);
      recordWritten();
    });
    for (let round = 0; round < 3; round++) {
      const crowd = Array.from({ length: 30 }, () => {
        const socket = connect(getPort(), "127.0.0.1");
        socket.on("error", () => {}); // the guard resets it
        socket.pause();
        socket.write("GET / HTTP/1.1\r\n\r\n");
        return socket;
      });
      sockets.push(...crowd);
      await new Promise((resolve) => setTimeout(resolve, 300));
      crowd.forEach((socket) => socket.destroy());
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect(closed["unsent"]).to.be.above(0);
    expect(await request()).to.equal(200);
  });

  it("closes a connection that sends too many requests ahead, and no other one", async () => {
    let handled = 0;
    await start((_incoming, response) => {
      handled++;
      setTimeout(() => response.end(), 100);
    });
    const ordinary = request();
    const socket = connect(getPort(), "127.0.0.1");
    sockets.push(socket);
    socket.on("error", () => {}); // the guard resets it
    const hasClosed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
    socket.resume();
    socket.write("GET / HTTP/1.1\r\n\r\n".repeat(5_000));
    await hasClosed;
    expect(closed).to.deep.equal({ requests: 1 });
    expect(handled).to.be.at.most(17);
    expect(await ordinary).to.equal(200);
  });
});
