// Stand-in for a worker, after PROTOCOL.md: plain requests and streams, heartbeats in the store.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;

/**
 * Starts a worker of `service` and registers it. `workMs` is the time of a plain request; a stream
 * has `events` events, one each `eventMs`. `record` receives each run when it begins; with `spoil`,
 * the bytes of some plain answers are replaced.
 */
export async function startWorker(options) {
  const {
    host,
    id,
    service,
    zone,
    store,
    slots,
    workMs = 21,
    events = 40,
    eventMs = 100,
  } = options;
  const born = Date.now();
  let sequence = 0;
  let running = 0;

  const answerPlain = (run, response, head) => {
    const body = Buffer.from(`answer to ${run.attempt}`);
    const spoilt = options.spoil?.(run);
    if (spoilt === undefined) {
      response.writeHead(200, { ...head, "Content-Length": body.length }).end(
        body,
      );
      return;
    }
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const text = `${spoilt}\r\n${lines}Content-Length: ${body.length}\r\n\r\n${body}`;
    response.socket.end(Buffer.from(text, "latin1"));
  };
  const stream = (request, response, head) => {
    const { attempt } = head;
    response.writeHead(200, {
      ...head.fields,
      "Content-Type": "text/event-stream",
    });
    let next = Number(request.headers["last-event-id"] ?? -1) + 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: ${attempt} ${next}\n\n`);
      next++;
      if (next >= events) {
        clearInterval(timer);
        response.end();
      }
    }, eventMs);
    response.once("close", () => clearInterval(timer));
  };

  const server = createServer((request, response) => {
    const attempt = request.headers["attempt-id"];
    const refuse = (status) => {
      request.resume();
      const echo = attempt === undefined ? {} : { "Attempt-Id": attempt };
      response.writeHead(status, {
        "Not-Executed": "1",
        ...echo,
        "Content-Length": 0,
      }).end();
    };
    if (request.url === "/health" || request.url === "/report") {
      response.writeHead(200, { "Instance-Id": id }).end("{}");
      return;
    }
    const expected = request.headers["expected-instance"];
    if (expected !== undefined && expected !== id) {
      refuse(421);
      return;
    }
    if (attempt === undefined || running >= slots) {
      refuse(attempt === undefined ? 400 : 503);
      return;
    }
    request.resume();
    request.once("end", () => {
      const run = {
        attempt,
        atMs: performance.now(),
        worker: id,
        service,
        end: "running",
      };
      options.record(run);
      running++;
      response.once("close", () => {
        run.end = response.writableFinished || run.isSpoilt ? "answered" : "channel closed";
        run.endAtMs = performance.now();
        running--;
      });
      const fields = {
        "Attempt-Id": attempt,
        "Server-Signature": `${id}.${attempt}`,
      };
      if (request.headers["token-usage"] === undefined) {
        setTimeout(() => answerPlain(run, response, fields), workMs);
      } else {
        stream(request, response, { attempt, fields });
      }
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  const beat = () => {
    sequence++;
    store.write(`servers/${id}`, {
      ...{ service, address, zone, version: "v1", slots, state: "ready" },
      ...{ cold_remaining_ms: 0, sequence, born },
    });
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
