import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { request } from "undici";
import type { z } from "zod";
import { decodeEtcdValue } from "./decode_etcd_value.ts";
import { ETCD_LIMITS } from "./etcd_limits.ts";
import { etcdRangeSchema } from "./etcd_range_schema.ts";
import { etcdWatchSchema } from "./etcd_watch_schema.ts";
import type { SettingsSource, WatchHandlers } from "./settings_source.ts";
import { splitLines } from "./split_lines.ts";

/** Options of {@link createEtcdSettingsSource}. */
export interface EtcdSettingsSourceOptions {
  /** Base URLs of the gateway; the next one is used after a failure or a stale response. */
  readonly urls: readonly string[];
}

/** A zero byte as both key and range end selects every key. */
const ALL_KEYS = { key: "AA==", range_end: "AA==" };
const JSON_HEADERS = { "content-type": "application/json" };

/** Creates a settings source over the etcd v3 JSON gateway; each call sends one request. */
export function createEtcdSettingsSource(options: EtcdSettingsSourceOptions): SettingsSource {
  const { urls } = options;
  let urlIndex = 0;
  let highestRevision = 0;

  const rotateUrl = () => {
    urlIndex = (urlIndex + 1) % Math.max(1, urls.length);
  };
  const observeRevision = (revision: number) => {
    if (revision < highestRevision) {
      rotateUrl();
    }
    highestRevision = Math.max(highestRevision, revision);
  };
  const fetchRange = async (
    body: object,
  ): Promise<Either<ResultError, z.infer<typeof etcdRangeSchema>>> => {
    const url = urls[urlIndex] ?? "";
    try {
      const range = etcdRangeSchema.parse(await fetchJson(`${url}/v3/kv/range`, body));
      observeRevision(range.header.revision);
      return Right(range);
    } catch (error) {
      rotateUrl();
      return Left(createResultError("settingsServiceUnavailable", `${url}: ${error}`));
    }
  };

  return {
    readAll: async () =>
      (await fetchRange(ALL_KEYS)).map((range) => ({
        revision: range.header.revision,
        values: range.kvs.map((kv) => decodeEtcdValue({ kv })),
      })),
    readRevision: async () =>
      (await fetchRange({ ...ALL_KEYS, count_only: true })).map((range) => range.header.revision),
    watchAfter: (revision, handlers) => {
      const abort = new AbortController();
      const url = urls[urlIndex] ?? "";
      runWatch({ url, revision, handlers, signal: abort.signal })
        .catch((error) => createResultError("settingsServiceUnavailable", `${url}: ${error}`))
        .then((error) => {
          if (!abort.signal.aborted) {
            rotateUrl();
            handlers.handleEnd(error);
          }
        });
      return () => abort.abort();
    },
  };
}

async function fetchJson(url: string, body: object): Promise<unknown> {
  const answer = await request(url, {
    method: "POST",
    headers: JSON_HEADERS,
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(ETCD_LIMITS.readTimeoutMs),
  });
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > ETCD_LIMITS.maxReadBytes) {
      throw new Error(`response is larger than ${ETCD_LIMITS.maxReadBytes} bytes`);
    }
  }
  if (answer.statusCode !== 200) {
    throw new Error(`status ${answer.statusCode}`);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

interface WatchOptions {
  readonly url: string;
  readonly revision: number;
  readonly handlers: WatchHandlers;
  readonly signal: AbortSignal;
}

/** Reads one watch until it ends; returns the reason. */
async function runWatch(options: WatchOptions): Promise<ResultError> {
  const { url, handlers, signal } = options;
  const created = { ...ALL_KEYS, start_revision: String(options.revision + 1) };
  const answer = await request(`${url}/v3/watch`, {
    method: "POST",
    headers: JSON_HEADERS,
    body: JSON.stringify({ create_request: created }),
    headersTimeout: ETCD_LIMITS.openTimeoutMs,
    bodyTimeout: 0,
    signal,
  });
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    return createResultError("settingsServiceUnavailable", `${url}: status ${answer.statusCode}`);
  }
  for await (const line of splitLines(answer.body, ETCD_LIMITS.maxLineLength)) {
    if (line.trim() === "") {
      continue;
    }
    const { result } = etcdWatchSchema.parse(JSON.parse(line));
    if (signal.aborted) {
      break;
    }
    if (result.compact_revision > 0) {
      const detail = `${url}: changes before revision ${result.compact_revision} are compacted`;
      return createResultError("settingsRevisionCompacted", detail);
    }
    if (result.canceled) {
      const detail = `${url}: watch canceled: ${result.cancel_reason}`;
      return createResultError("settingsServiceUnavailable", detail);
    }
    const values = result.events.map(decodeEtcdValue);
    handlers.handleBatch({ revision: result.header.revision, values });
  }
  return createResultError("settingsServiceUnavailable", `${url}: watch ended`);
}
