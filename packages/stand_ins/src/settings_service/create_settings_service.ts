import fastify from "fastify";
import type { FastifyReply } from "fastify";
import { Buffer } from "node:buffer";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";
import type { StoredValue } from "./stored_value.ts";

/** Fake of the etcd v3 JSON gateway: `range` and `watch`, with a publisher's side for tests. */
export interface SettingsService extends StandInServer {
  /** Publishes a value; returns its revision. */
  putValue(path: string, value: string): number;
  /** Deletes a value; returns the revision of its tombstone. */
  deleteValue(path: string): number;
  /** Number of calls answered, a waiting watch counting as one. */
  countCalls(): number;
}

/** Options of {@link createSettingsService}. */
export interface SettingsServiceOptions {
  /** Values published before the service starts, by path. */
  readonly values?: Readonly<Record<string, string>>;
  readonly port?: number;
}

interface Watcher {
  readonly start: string;
  readonly end: string;
  send(values: readonly StoredValue[]): void;
}

interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
}

interface WatchRequest {
  readonly create_request: RangeRequest & { readonly start_revision?: string | number };
}

/** Starts a fake settings service. */
export async function createSettingsService(
  options: SettingsServiceOptions = {},
): Promise<SettingsService> {
  const history: StoredValue[] = [];
  const current = new Map<string, StoredValue>();
  const watchers = new Set<Watcher>();
  let revision = 0;
  let calls = 0;

  const storeValue = (path: string, value: string, isDeleted: boolean): number => {
    revision += 1;
    const stored = { path, value, revision, isDeleted };
    history.push(stored);
    if (isDeleted) {
      current.delete(path);
    } else {
      current.set(path, stored);
    }
    for (const watcher of watchers) {
      if (isInRange(path, watcher)) {
        watcher.send([stored]);
      }
    }
    return revision;
  };
  for (const [path, value] of Object.entries(options.values ?? {})) {
    storeValue(path, value, false);
  }

  const server = fastify();
  server.post("/v3/kv/range", (request) => {
    calls += 1;
    const range = decodeRange(request.body as RangeRequest);
    const kvs = [...current.values()]
      .filter((stored) => isInRange(stored.path, range))
      .map(encodeStoredValue);
    return { header: { revision: String(revision) }, kvs, count: String(kvs.length) };
  });
  server.post("/v3/watch", (request, reply) => {
    calls += 1;
    const { create_request: created } = request.body as WatchRequest;
    const watcher = openWatcher(reply, decodeRange(created), () => revision);
    const startRevision = Number(created.start_revision ?? 0);
    const missed = history.filter((stored) =>
      startRevision > 0 && stored.revision >= startRevision && isInRange(stored.path, watcher)
    );
    if (missed.length > 0) {
      watcher.send(missed);
    }
    watchers.add(watcher);
    reply.raw.on("close", () => watchers.delete(watcher));
  });

  const started = await startLoopbackServer(server, options.port);
  return {
    ...started,
    putValue: (path, value) => storeValue(path, value, false),
    deleteValue: (path) => storeValue(path, "", true),
    countCalls: () => calls,
  };
}

function openWatcher(
  reply: FastifyReply,
  range: { start: string; end: string },
  readRevision: () => number,
): Watcher {
  reply.hijack();
  reply.raw.writeHead(200, { "content-type": "application/json" });
  const writeResult = (result: unknown) => reply.raw.write(`${JSON.stringify({ result })}\n`);
  writeResult({ header: { revision: String(readRevision()) }, created: true });
  return {
    ...range,
    send: (values) =>
      writeResult({
        header: { revision: String(readRevision()) },
        events: values.map((stored) => ({
          ...(stored.isDeleted ? { type: "DELETE" } : {}),
          kv: encodeStoredValue(stored),
        })),
      }),
  };
}

function decodeRange(request: RangeRequest): { start: string; end: string } {
  return { start: decodeBase64(request.key), end: decodeBase64(request.range_end ?? "") };
}

function isInRange(path: string, range: { start: string; end: string }): boolean {
  if (range.end === "") {
    return path === range.start;
  }
  return path >= range.start && (range.end === "\0" || path < range.end);
}

function encodeStoredValue(stored: StoredValue) {
  return {
    key: Buffer.from(stored.path).toString("base64"),
    value: Buffer.from(stored.value).toString("base64"),
    mod_revision: String(stored.revision),
  };
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
