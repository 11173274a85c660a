// A worker of a plain service as PROTOCOL.md describes it: it answers each request after `workMs`.
import { createServer } from "node:http";

/** Starts a worker on a free port of `host`. */
export async function createDesk({ host, id, record, workMs = 60, slots = 6, queue = 24 }) {
  let running = 0;
  const waiting = [];
  const answer = (requestId, body, response) => {
    running++;
    record(id, "runs", { request: requestId });
    setTimeout(() => {
      running--;
      record(id, "answers", { request: requestId });
      const text = `${id} has done ${requestId} ${body}`;
      response.writeHead(200, {
        "Attempt-Id": requestId,
        "Server-Signature": `signed-${id}`,
        "Content-Length": Buffer.byteLength(text),
      });
      response.end(text);
      waiting.shift()?.();
    }, workMs);
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.once("end", () => {
      const requestId = String(request.headers["attempt-id"] ?? "");
      if (requestId === "") {
        response.writeHead(400, { "Not-Executed": "1" }).end();
        return;
      }
      record(id, "arrives", { request: requestId });
      if ((request.headers["expected-instance"] ?? id) !== id) {
        response.writeHead(421, { "Attempt-Id": requestId }).end();
        return;
      }
      const body = Buffer.concat(chunks).toString("utf8");
      const start = () => answer(requestId, body, response);
      if (running < slots) {
        start();
      } else if (waiting.length < queue) {
        waiting.push(start);
      } else {
        response.writeHead(503, { "Attempt-Id": requestId, "Not-Executed": "1" }).end();
      }
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
