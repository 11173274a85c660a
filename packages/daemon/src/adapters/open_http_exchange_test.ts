import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { openHttpExchange } from "./open_http_exchange.ts";

interface Outcome {
  readonly end: "end" | "sent" | "notSent";
  readonly body: string;
}

/**
 * Runs an exchange with an upstream that responds by `answer`, and blocks the process for `stallMs`
 * while it connects; returns how the exchange ended.
 */
async function runExchange(
  answer: (socket: Socket) => void,
  stallMs = 0,
): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const chunks: Uint8Array[] = [];
  // The event loop runs due timers next, before it polls for connections.
  await new Promise((resolve) => setImmediate(resolve));
  const end = await new Promise<Outcome["end"]>((resolve) => {
    openHttpExchange({
      address: `127.0.0.1:${port}`,
      method: "GET",
      target: "/a",
      headers: ["Host", "a"],
      body: undefined,
      connectTimeoutMs: 500,
    }, {
      receiveHead: () => {},
      receiveData: (chunk) => chunks.push(chunk),
      end: () => resolve("end"),
      fail: (isSent) => resolve(isSent ? "sent" : "notSent"),
    });
    const untilMs = performance.now() + stallMs;
    while (performance.now() < untilMs) {
      // blocks the event loop
    }
  });
  server.close();
  return { end, body: Buffer.concat(chunks).toString() };
}

const HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

describe("openHttpExchange", () => {
  for (const address of ["127.0.0.1:70000", "999.0.0.1:80", "127.0.0.1:", "", "127.0.0.1:80/a b"]) {
    it(`fails a request to an address that cannot be connected to: "${address}"`, async () => {
      const isSent = await new Promise<boolean>((resolve) =>
        openHttpExchange({
          ...{ address, method: "GET", target: "/a", headers: ["Host", "a"], body: undefined },
          connectTimeoutMs: 500,
        }, {
          receiveHead: () => {},
          receiveData: () => {},
          end: () => {},
          fail: resolve,
        })
      );
      expect(isSent).to.equal(false);
    });
  }

  const cases: readonly { title: string; answer: (socket: Socket) => void; end: string }[] = [
    {
      title: "a body with the length in Content-Length is complete",
      answer: (socket) => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`),
      end: "end",
    },
    {
      title: "a body without a length is complete when the upstream closes the connection",
      answer: (socket) => socket.end(`${HEAD}\r\nok`),
      end: "end",
    },
    {
      title: "a body without a length is incomplete after a connection reset",
      answer: (socket) => socket.write(`${HEAD}\r\nok`, () => setTimeout(resetSocket, 20, socket)),
      end: "sent",
    },
    {
      title: "a chunked body is complete with its last chunk",
      answer: (socket) => socket.end(`${CHUNKED}2\r\nok\r\n0\r\n\r\n`),
      end: "end",
    },
    {
      title: "a chunked body is incomplete when the upstream closes before the last chunk",
      answer: (socket) => socket.end(`${CHUNKED}2\r\nok\r\n`),
      end: "sent",
    },
    {
      title: "a chunked body is incomplete after a connection reset",
      answer: (socket) =>
        socket.write(`${CHUNKED}2\r\nok\r\n`, () => setTimeout(resetSocket, 20, socket)),
      end: "sent",
    },
    {
      title: "a body shorter than its Content-Length is incomplete",
      answer: (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nok`),
      end: "sent",
    },
    {
      title: "bytes after the response are ignored",
      answer: (socket) => socket.write(`${HEAD}Content-Length: 2\r\n\r\nok${HEAD}\r\nno`),
      end: "end",
    },
    {
      title: "a request that receives a malformed response may have been executed",
      answer: (socket) => socket.end("garbage\r\n\r\n"),
      end: "sent",
    },
  ];
  for (const { title, answer, end } of cases) {
    it(title, async () => {
      const outcome = await runExchange(answer);
      expect(outcome.end).to.equal(end);
      if (end === "end") {
        expect(outcome.body).to.equal("ok");
      }
    });
  }

  // libuv reports a normal end of the stream if it polls a reset together with bytes.
  it("treats a body without a length as incomplete if a reset follows at once", async () => {
    for (let round = 0; round < 50; round++) {
      const outcome = await runExchange((socket) => {
        socket.write(`${HEAD}\r\nok`);
        socket.resetAndDestroy();
      });
      expect(outcome.end).to.equal("sent");
    }
  });

  it("does not take a connect timer that fires late for a connection that timed out", async () => {
    const answer = (socket: Socket) => socket.end(`${HEAD}Content-Length: 2\r\n\r\nok`);
    const outcome = await runExchange(answer, 700);
    expect(outcome).to.deep.equal({ end: "end", body: "ok" });
  });

  it("reports that nothing was sent when the connection is refused", async () => {
    const isSent = await new Promise<boolean>((resolve) => {
      openHttpExchange({
        address: "127.0.0.1:1",
        method: "GET",
        target: "/a",
        headers: ["Host", "a"],
        body: undefined,
        connectTimeoutMs: 500,
      }, { receiveHead: () => {}, receiveData: () => {}, end: () => {}, fail: resolve });
    });
    expect(isSent).to.equal(false);
  });
});

function resetSocket(socket: Socket): void {
  socket.resetAndDestroy();
}
