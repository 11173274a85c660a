// Stand-ins for clients, after PROTOCOL.md: they ask the directory, keep channels, send requests.
import { randomBytes } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";
import { HOST_NAME, KINDS } from "./config.js";

const DIRECTORY_TIMEOUT_MS = 1_000;

/** Creates clients of a fleet. `record` receives each attempt when it has ended. */
export function createClients({ hosts, record }) {
  const agent = new Agent({
    keepAlive: true,
    maxSockets: Infinity,
    timeout: 12_000,
  });
  const open = new Set();
  const failedAtMs = new Map();
  let addresses = [];
  let refreshAtMs = 0;

  const refresh = async () => {
    const from = hosts.toSorted(() => Math.random() - 0.5).slice(0, 3);
    for (const { ip } of from) {
      try {
        const response = await fetch(
          `http://${ip}:8746/resolution?name=${HOST_NAME}&region=viti-levu&zone=suva-a`,
          { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) },
        );
        const body = await response.json();
        if (response.status === 200 && body.addresses.length > 0) {
          addresses = body.addresses;
          refreshAtMs = performance.now() + Math.min(5, body.ttl_s) * 1_000;
          failedAtMs.clear();
          return;
        }
      } catch {
        // the next daemon is asked
      }
    }
  };
  const choose = () => {
    const usable = addresses.filter((address) => !failedAtMs.has(address));
    const among = usable.length > 0 ? usable : addresses;
    return among[Math.floor(Math.random() * among.length)];
  };
  /** Sends one attempt of a kind, to any address of the directory or to `address`. */
  const send = async (kind, address) => {
    if (address === undefined && performance.now() >= refreshAtMs) {
      await refresh();
    }
    const target = address ?? choose();
    const result = sendAttempt(target, { kind, agent });
    open.add(result);
    const ended = await result;
    open.delete(result);
    if (ended.error?.startsWith("channel closed")) {
      failedAtMs.set(target, performance.now());
    }
    record(ended);
    return ended;
  };
  return {
    refresh,
    send,
    /** Sends requests of all kinds at their rates for some time; resolves when all have ended. */
    load: async (durationMs, kinds = Object.keys(KINDS)) => {
      const endMs = performance.now() + durationMs;
      const all = [];
      await Promise.all(kinds.map(async (kind) => {
        const gapMs = 1_000 / KINDS[kind].perSecond;
        for (let nextMs = performance.now(); nextMs < endMs; nextMs += gapMs) {
          const waitMs = nextMs - performance.now();
          if (waitMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, waitMs));
          }
          all.push(send(kind));
        }
      }));
      return Promise.all(all);
    },
    close: () => agent.destroy(),
  };
}

/**
 * Sends one client attempt and resolves when it has ended: `status` and `body` of a complete answer,
 * or `error`. The client gives up at its time limit.
 */
function sendAttempt(address, { kind, agent }) {
  const { method, path, deadlineMs } = KINDS[kind];
  const attempt = randomBytes(8).toString("hex");
  const [host, port] = address.split(":");
  const sentAtMs = performance.now();
  const body = method === "GET" ? "" : `body of ${attempt}`;
  const prompt = {
    "Model": "m",
    "Token-Usage": "100,160",
    "Prompt-Prefix": `${attempt}:100`,
  };
  return new Promise((resolve) => {
    const result = {
      kind,
      attempt,
      address,
      sentAtMs,
      status: 0,
      body: "",
      error: undefined,
    };
    const finish = (error) => {
      clearTimeout(timer);
      result.error = error;
      result.tookMs = performance.now() - sentAtMs;
      resolve(result);
    };
    const request = sendRequest({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: {
        "Host": HOST_NAME,
        "Attempt-Id": attempt,
        "Deadline-Milliseconds": String(deadlineMs),
        "Credential": "key-agents-1",
        ...(kind === "draft" ? prompt : {}),
        ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
      },
    }, (response) => {
      result.status = response.statusCode;
      result.isSigned = response.headers["server-signature"] !== undefined;
      response.on("data", (chunk) => {
        result.body += chunk;
      });
      response.once("end", () => finish(undefined));
      response.once(
        "error",
        (error) => finish(`answer broken off: ${error.code}`),
      );
    });
    const timer = setTimeout(() => {
      finish("no answer within the time limit");
      request.destroy();
    }, deadlineMs);
    request.on(
      "error",
      (error) => finish(`channel closed: ${error.code ?? error.message}`),
    );
    request.once("socket", () => {
      result.isKept = request.reusedSocket;
    });
    request.end(body);
  });
}
