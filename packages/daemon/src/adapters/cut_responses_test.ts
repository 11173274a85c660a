import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { openHttpExchange } from "./open_http_exchange.ts";

const BODY = "0123456789";
const CHUNKED_BODY = `5\r\n${BODY.slice(0, 5)}\r\n5;a=b\r\n${BODY.slice(5)}\r\n0\r\nT: 1\r\n\r\n`;
const INFORMATIONAL = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
const CONNECTIONS = ["", "Connection: close\r\n", "Connection: keep-alive\r\n"];
const CLOSE_MS = 2;
const PARALLEL = 50;

/** Complete responses, and the number of bytes after which each may look complete. */
const RESPONSES = CONNECTIONS.flatMap((connection) =>
  ["", INFORMATIONAL].flatMap((prefix) => {
    const head = `${prefix}HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n${connection}`;
    const withLength = `${head}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
    const withChunks = `${head}Transfer-Encoding: chunked\r\n\r\n${CHUNKED_BODY}`;
    return [
      { text: withLength, completeAt: withLength.length },
      { text: withChunks, completeAt: withChunks.length },
      { text: `${head}\r\n${BODY}`, completeAt: `${head}\r\n`.length },
    ];
  })
);

describe("a response that is cut at any of its bytes", function () {
  this.timeout(60_000);
  let server: Server;
  const sentByPath = new Map<string, (socket: Socket) => void>();

  before(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {}); // the exchange may reset the connection
      socket.once("data", (data) => sentByPath.get(String(data).split(" ")[1] ?? "")?.(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  });
  after(() => server.close());

  const runExchange = (target: string) => {
    const { port } = server.address() as AddressInfo;
    return new Promise<boolean>((resolve) =>
      openHttpExchange({
        ...{ address: `127.0.0.1:${port}`, method: "GET", target, headers: ["Host", "a"] },
        ...{ body: undefined, connectTimeoutMs: 5_000 },
      }, {
        receiveHead: () => {},
        receiveData: () => {},
        end: () => resolve(true),
        fail: () => resolve(false),
      })
    );
  };

  for (const close of ["end", "reset"] as const) {
    it(`never looks complete before it is, with a connection that is closed by ${close}`, async () => {
      const cases = RESPONSES.flatMap(({ text, completeAt }, index) =>
        Array.from({ length: text.length + 1 }, (_, bytes) => ({
          target: `/${close}-${index}-${bytes}`,
          sent: text.slice(0, bytes),
          // A body that ends with the connection is incomplete after a reset.
          isComplete: bytes >= completeAt && (close === "end" || completeAt === text.length),
        }))
      );
      for (const { target, sent } of cases) {
        sentByPath.set(target, (socket) => {
          socket.write(sent);
          setTimeout(() => close === "end" ? socket.end() : socket.resetAndDestroy(), CLOSE_MS);
        });
      }
      const wrong: string[] = [];
      for (let start = 0; start < cases.length; start += PARALLEL) {
        await Promise.all(
          cases.slice(start, start + PARALLEL).map(async ({ target, sent, isComplete }) => {
            const looksComplete = await runExchange(target);
            // The reset may overtake the last bytes.
            const isAllowed = looksComplete === isComplete || (close === "reset" && isComplete);
            if (!isAllowed) {
              wrong.push(JSON.stringify(sent));
            }
          }),
        );
      }
      expect(wrong).to.deep.equal([]);
    });
  }
});
