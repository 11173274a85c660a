// Stand-in for the platform's metadata store, after PROTOCOL.md: range and watch.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;
const ANSWER_MS = 4;

/** Starts a store at `host:port`. */
export async function startStore(host, port) {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  const silent = new WeakSet(); // channels on which nothing arrives any more
  const channels = new Set();
  let revision = 100;

  const write = (item) => {
    revision++;
    const created = items.get(item.key)?.created ?? revision;
    const stored = { ...item, revision, created, lease: 0 };
    item.tombstone === true ? items.delete(item.key) : items.set(item.key, stored);
    history.push(stored);
    [...waiting].forEach((wake) => wake());
    return performance.now(); // the answer to the writer is the confirmation
  };
  const answer = (response, body) =>
    setTimeout(() => {
      if (silent.has(response.socket)) {
        return;
      }
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify(body));
    }, ANSWER_MS);
  const answerRange = (query, response) => {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    answer(response, {
      items: found.slice(0, PAGE_ITEMS),
      has_more: found.length > PAGE_ITEMS,
      at: revision,
    });
  };
  const answerWatch = (query, response) => {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const listEvents = () =>
      history.filter((item) => item.revision > after && item.key.startsWith(prefix));
    const end = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      answer(response, { events: listEvents(), at: revision });
    };
    const wake = () => listEvents().length > 0 && end();
    const timer = setTimeout(end, Number(query.get("wait_ms")));
    waiting.add(wake);
    response.once("close", () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    wake();
  };
  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, "http://store");
    if (pathname === "/kv-range") {
      answerRange(searchParams, response);
    } else if (pathname === "/kv-watch") {
      answerWatch(searchParams, response);
    } else {
      response.writeHead(404).end();
    }
  });
  server.on("connection", (socket) => {
    channels.add(socket);
    socket.once("close", () => channels.delete(socket));
  });
  await new Promise((resolve) => server.listen(port, host, resolve));
  return {
    address: `${host}:${port}`,
    /** Writes a value as JSON; returns the time of the confirmation. */
    write: (key, value) =>
      write({
        key,
        value: Buffer.from(JSON.stringify(value)).toString("base64"),
      }),
    remove: (key) => write({ key, tombstone: true }),
    /** All channels that are open now go silent for good, without a reset; new ones work. */
    silenceOpenChannels: () => {
      channels.forEach((socket) => silent.add(socket));
      return channels.size;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
