import fastify from "fastify";
import type { FastifyReply } from "fastify";
import { Buffer } from "node:buffer";
import { startLoopbackServer } from "../start_loopback_server.ts";
import type { StandInServer } from "../stand_in_server.ts";
import { createSettingsHistory } from "./create_settings_history.ts";
import type { StoredValue } from "./stored_value.ts";

/** Fake of the etcd v3 JSON gateway: `range` and `watch`, with methods that publish for tests. */
export interface SettingsService extends StandInServer {
  /** Publishes a value; returns its revision. */
  putValue(path: string, value: string): number;
  /** Deletes a value; returns the revision of its tombstone. */
  deleteValue(path: string): number;
  /** Counts the received calls; a watch counts as one. */
  countCalls(): number;
  /** Closes every watch and, while `isDown` is true, refuses every call. */
  setDown(isDown: boolean): void;
  /** Responds as of an earlier revision and sends no changes until set to undefined. */
  setStale(revision: number | undefined): void;
  /** Compacts the changes up to a revision, so that no watch can start at it or before. */
  compactChanges(revision: number): void;
  /** Reverts to an earlier revision, like a service that was restored from a backup. */
  restoreRevision(revision: number): void;
  /** Writes `text` to every watch and closes it. */
  cutWatches(text?: string): void;
}

/** Options of {@link createSettingsService}. */
export interface SettingsServiceOptions {
  /** Values published before the service starts, by path. */
  readonly values?: Readonly<Record<string, string>>;
  readonly port?: number;
}

interface KeyRange {
  readonly start: string;
  readonly end: string;
}

interface Watcher extends KeyRange {
  send(result: object): void;
  close(text: string): void;
}

interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly count_only?: boolean;
}

interface WatchRequest {
  readonly create_request: RangeRequest & { readonly start_revision?: string | number };
}

/** Starts a fake settings service. */
export async function createSettingsService(
  options: SettingsServiceOptions = {},
): Promise<SettingsService> {
  const history = createSettingsHistory();
  const watchers = new Set<Watcher>();
  let calls = 0;
  let isDown = false;
  let staleRevision: number | undefined;

  const getReportedRevision = () => staleRevision ?? history.getRevision();
  const buildHeader = () => ({ revision: String(getReportedRevision()) });
  const sendChanges = (watcher: Watcher, changes: readonly StoredValue[]) => {
    const matchingChanges = changes.filter((change) => isInRange(change.path, watcher));
    if (matchingChanges.length > 0 && staleRevision === undefined) {
      watcher.send({ header: buildHeader(), events: matchingChanges.map(encodeEvent) });
    }
  };
  const storeValue = (path: string, value: string, isDeleted: boolean): number => {
    const change = history.appendChange(path, value, isDeleted);
    watchers.forEach((watcher) => sendChanges(watcher, [change]));
    return change.revision;
  };
  const cutWatches = (text = "") => {
    watchers.forEach((watcher) => watcher.close(text));
    watchers.clear();
  };
  for (const [path, value] of Object.entries(options.values ?? {})) {
    storeValue(path, value, false);
  }

  const server = fastify();
  server.addHook("onRequest", (_request, reply, done) => {
    calls += 1;
    if (isDown) {
      reply.code(503).send({ error: "unavailable" });
      return;
    }
    done();
  });
  server.post("/v3/kv/range", (request) => {
    const body = request.body as RangeRequest;
    const range = decodeRange(body);
    const matchingValues = history.listValues(getReportedRevision())
      .filter((stored) => isInRange(stored.path, range));
    const kvs = body.count_only === true ? [] : matchingValues.map(encodeStoredValue);
    return { header: buildHeader(), kvs, count: String(matchingValues.length) };
  });
  server.post("/v3/watch", (request, reply) => {
    const { create_request: created } = request.body as WatchRequest;
    const watcher = openWatcher(reply, decodeRange(created));
    const startRevision = Number(created.start_revision ?? 0);
    const compactedRevision = history.getCompactedRevision();
    if (startRevision > 0 && startRevision <= compactedRevision) {
      watcher.send({
        header: buildHeader(),
        canceled: true,
        compact_revision: String(compactedRevision),
      });
      watcher.close("");
      return;
    }
    watcher.send({ header: buildHeader(), created: true });
    sendChanges(watcher, startRevision > 0 ? history.listChangesFrom(startRevision) : []);
    watchers.add(watcher);
    reply.raw.on("close", () => watchers.delete(watcher));
  });

  const loopbackServer = await startLoopbackServer(server, options.port);
  return {
    ...loopbackServer,
    putValue: (path, value) => storeValue(path, value, false),
    deleteValue: (path) => storeValue(path, "", true),
    countCalls: () => calls,
    setDown: (nextIsDown) => {
      isDown = nextIsDown;
      cutWatches();
    },
    setStale: (revision) => {
      staleRevision = revision;
      cutWatches();
    },
    compactChanges: history.dropChanges,
    restoreRevision: (revision) => {
      history.restoreRevision(revision);
      cutWatches();
    },
    cutWatches,
  };
}

function openWatcher(reply: FastifyReply, range: KeyRange): Watcher {
  reply.hijack();
  reply.raw.writeHead(200, { "content-type": "application/json" });
  return {
    ...range,
    send: (result) => reply.raw.write(`${JSON.stringify({ result })}\n`),
    close: (text) => reply.raw.end(text),
  };
}

function decodeRange(request: RangeRequest): KeyRange {
  return { start: decodeBase64(request.key), end: decodeBase64(request.range_end ?? "") };
}

function isInRange(path: string, range: KeyRange): boolean {
  if (range.end === "") {
    return path === range.start;
  }
  return path >= range.start && (range.end === "\0" || path < range.end);
}

function encodeEvent(stored: StoredValue) {
  return { ...(stored.isDeleted ? { type: "DELETE" } : {}), kv: encodeStoredValue(stored) };
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
