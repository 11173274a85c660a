// The platform's store as PROTOCOL.md describes it: items, ranges and watches over HTTP/1.1. It
// loses nothing, its revisions rise, and it disturbs nobody by itself.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;

/** Starts a store on a free port of `host`. */
export async function createStore(host) {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 100;

  const write = (item) => {
    revision++;
    const created = items.get(item.key)?.created ?? revision;
    const stored = { ...item, revision, created, lease: 0 };
    if (item.tombstone === true) {
      items.delete(item.key);
    } else {
      items.set(item.key, stored);
    }
    history.push(stored);
    [...waiting].forEach((wake) => wake());
    return revision;
  };
  const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  const listChanges = (prefix, after) =>
    history.filter((item) => item.revision > after && item.key.startsWith(prefix));
  const watch = (query, request, response) => {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait_ms") ?? 0));
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      send(response, 200, { events: listChanges(prefix, after), at: revision });
    };
    const wake = () => {
      if (listChanges(prefix, after).length > 0) {
        finish();
      }
    };
    const timer = setTimeout(finish, waitMs);
    waiting.add(wake);
    request.socket.once("close", () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    wake();
  };
  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url ?? "/", `http://${host}`);
    if (pathname === "/kv-range") {
      const prefix = searchParams.get("prefix") ?? "";
      const after = searchParams.get("after") ?? "";
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      send(response, 200, {
        items: found.slice(0, PAGE_ITEMS),
        has_more: found.length > PAGE_ITEMS,
        at: revision,
      });
    } else if (pathname === "/kv-key") {
      const item = items.get(searchParams.get("key") ?? "");
      send(response, item === undefined ? 404 : 200, { ...item, at: revision });
    } else if (pathname === "/kv-watch") {
      watch(searchParams, request, response);
    } else {
      send(response, 404, {});
    }
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a value as JSON, or as it is if it is a buffer; returns the revision. */
    put: (key, value) => {
      const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
      return write({ key, value: bytes.toString("base64") });
    },
    remove: (key) => write({ key, tombstone: true }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
