// A worker of a model service as PROTOCOL.md describes it: streams, moves of memory and backups.
import { createServer } from "node:http";

const EVENT_TOKENS = 4;

/**
 * Starts a worker. `eventMs` is the time for an event, `prefillMs` that for a prompt. Moves of memory
 * run one after another over its link, at `tokenBytes` a token, and take twice as long to a worker
 * in another zone. With `dropsOnClose` false it goes on with a request whose channel has closed, as
 * some workers do.
 */
export async function createEngine(options) {
  const { host, id, record, zone, eventMs = 40, prefillMs = 60 } = options;
  const { dropsOnClose = true, backupMs = 200 } = options;
  const { tokenBytes = 131_072, linkMbps = 19_000 } = options;
  let linkFreeAtMs = 0;
  const runs = new Map();
  /** Copies of other workers' requests, by the text of `Kv-From`: events that they hold. */
  const copies = new Map();
  const sockets = new Set();
  let handles = 0;
  let isDown = false;
  let isFull = false;

  const sendEvent = (run) => {
    const number = run.next++;
    record(id, "event", { request: run.id, number });
    if (!run.response.destroyed) {
      run.response.write(`id: ${number}\ndata: ${run.id} ${number}\n\n`);
    }
  };
  const stopRun = (run, reason) => {
    if (runs.get(run.id) === run) {
      runs.delete(run.id);
      clearTimeout(run.timer);
      record(id, "run ended", { request: run.id, reason, events: run.next });
    }
  };
  const step = (run) => {
    sendEvent(run);
    if (run.backup !== undefined && performance.now() - run.backedUpMs >= backupMs) {
      run.backedUpMs = performance.now();
      run.backup.receiveCopy(run.id, run.next);
    }
    if (run.next >= run.events) {
      run.backup?.dropCopy(run.id);
      stopRun(run, "complete");
      run.response.end();
      return;
    }
    run.timer = setTimeout(() => step(run), eventMs);
  };
  const startRun = (request, response, requestId, firstEvent, readMs) => {
    const [prompt = "0", output = "40"] = String(request.headers["token-usage"] ?? "").split(",");
    const run = {
      id: requestId,
      response,
      next: firstEvent,
      events: Math.ceil(Number(output) / EVENT_TOKENS),
      promptTokens: Number(prompt),
      copiedTokens: 0,
      isCopying: false,
      backup: options.findEngine?.(request.headers["cache-backup"]),
      backedUpMs: 0,
      timer: undefined,
    };
    runs.set(requestId, run);
    record(id, "runs", {
      request: requestId,
      after: request.headers["last-event-id"] ?? "none",
      from: request.headers["kv-from"] ?? "none",
    });
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Attempt-Id": requestId,
      "Server-Signature": `signed-${id}`,
      "Weight-Versions": "1",
    });
    response.flushHeaders();
    response.once("close", () => {
      if (runs.get(requestId) === run) {
        record(id, "channel closed", { request: requestId });
        if (dropsOnClose) {
          stopRun(run, "channel closed");
        }
      }
    });
    run.timer = setTimeout(() => step(run), readMs);
  };
  const refuse = (response, requestId, reason) => {
    record(id, "refuses", { request: requestId, reason });
    response.writeHead(reason === "other instance" ? 421 : 503, {
      "Attempt-Id": requestId,
      "Not-Executed": "1",
    }).end();
  };
  const serveRequest = (request, response) => {
    const requestId = String(request.headers["attempt-id"] ?? "");
    record(id, "arrives", { request: requestId, from: request.headers["kv-from"] ?? "none" });
    if ((request.headers["expected-instance"] ?? id) !== id) {
      refuse(response, requestId, "other instance");
      return;
    }
    const firstEvent = Number(request.headers["last-event-id"] ?? -1) + 1;
    const source = request.headers["kv-from"];
    if (source === undefined && isFull) {
      refuse(response, requestId, "full");
      return;
    }
    if (source === undefined) {
      startRun(request, response, requestId, firstEvent, prefillMs);
      return;
    }
    const key = source.startsWith(`${address}/`) ? source.slice(address.length + 1) : source;
    if (!copies.delete(key)) {
      refuse(response, requestId, "no copy");
      return;
    }
    startRun(request, response, requestId, firstEvent, eventMs);
  };
  const sendJson = (response, status, body) => {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
  };
  /** Takes the link for `tokens`; returns the milliseconds until they have arrived. */
  const takeLink = (tokens, target) => {
    const factor = target !== undefined && target.zone !== zone ? 2 : 1;
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, linkFreeAtMs);
    linkFreeAtMs = startMs + factor * tokens * tokenBytes * 8 / (linkMbps * 1_000);
    return linkFreeAtMs - nowMs;
  };
  const moveRun = (call, response) => {
    const run = runs.get(call.id);
    record(id, "kv-move", { request: call.id, last: call.last === true });
    if (run === undefined) {
      sendJson(response, 404, {});
      return;
    }
    if (run.isCopying) {
      record(id, "kv-move in progress", { request: call.id });
      sendJson(response, 409, {});
      return;
    }
    run.isCopying = true;
    const target = options.findEngine?.(call.target);
    const tokens = run.promptTokens + run.next * EVENT_TOKENS - run.copiedTokens;
    run.copiedTokens += tokens;
    const handle = `h${++handles}`;
    if (call.last === true) {
      stopRun(run, "kv-move");
      run.response.destroy();
      copies.set(handle, run.next);
    }
    setTimeout(() => {
      run.isCopying = false;
      target?.receiveCopy(`${address}/${handle}`, run.next);
      record(id, "kv-move done", { request: call.id });
      sendJson(response, 200, { handle, created: run.next });
    }, takeLink(tokens, target));
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.once("end", () => {
      if (request.method === "POST" && request.url === "/kv-move") {
        moveRun(JSON.parse(Buffer.concat(chunks).toString("utf8")), response);
      } else if (request.method === "DELETE" && request.url?.startsWith("/kv-handle/")) {
        copies.delete(request.url.slice("/kv-handle/".length));
        sendJson(response, 200, {});
      } else {
        serveRequest(request, response);
      }
    });
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(options.port ?? 0, host, resolve));
  const address = `${host}:${server.address().port}`;
  return {
    id,
    zone,
    address,
    receiveCopy: (key, events) => isDown || copies.set(key, events),
    /** Refuses new requests from now on, as a full worker does, or takes them again. */
    setFull: (isNowFull) => {
      isFull = isNowFull;
    },
    dropCopy: (key) => copies.delete(key),
    listRuns: () => [...runs.keys()],
    hasCopy: (key) => copies.has(key),
    /** Ends at once, as a crash does: its port refuses and its channels are reset. */
    crash: () => {
      isDown = true;
      [...runs.values()].forEach((run) => stopRun(run, "crash"));
      copies.clear();
      server.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
      record(id, "crashed", {});
    },
    close: () => {
      isDown = true;
      runs.forEach((run) => clearTimeout(run.timer));
      server.close();
      server.closeAllConnections();
    },
  };
}
