import { createResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import { etcdRangeSchema } from "./etcd_range_schema.ts";
import { etcdWatchSchema } from "./etcd_watch_schema.ts";
import type { PublishedValue, SettingsSource, WatchHandlers } from "./settings_source.ts";

/** Options of {@link createEtcdSettingsSource}. */
export interface EtcdSettingsSourceOptions {
  /** Base URLs of the gateway, tried in order. */
  readonly urls: readonly string[];
}

const READ_TIMEOUT_MS = 5_000;
/** The zero byte as key and range end selects every key. */
const ALL_KEYS = { key: "AA==", range_end: "AA==" };

/** Creates a settings source that speaks the etcd v3 JSON gateway. */
export function createEtcdSettingsSource(options: EtcdSettingsSourceOptions): SettingsSource {
  const readFrom = async (url: string) => {
    const answer = await request(`${url}/v3/kv/range`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(ALL_KEYS),
      headersTimeout: READ_TIMEOUT_MS,
      bodyTimeout: READ_TIMEOUT_MS,
    });
    const range = etcdRangeSchema.parse(await answer.body.json());
    return {
      revision: range.header.revision,
      values: range.kvs.map((kv) => decodeValue({ kv })),
    };
  };
  return {
    readAll: async () => {
      const failures: string[] = [];
      for (const url of options.urls) {
        try {
          return Right(await readFrom(url));
        } catch (error) {
          failures.push(`${url}: ${error}`);
        }
      }
      return Left(createResultError("settingsServiceUnavailable", failures.join("; ")));
    },
    watchAfter: (revision, handlers) => {
      const abort = new AbortController();
      const url = options.urls[0] ?? "";
      runWatch({ url, revision, handlers, signal: abort.signal }).catch((error) => {
        if (!abort.signal.aborted) {
          handlers.handleEnd(createResultError("settingsServiceUnavailable", `${url}: ${error}`));
        }
      });
      return () => abort.abort();
    },
  };
}

interface WatchOptions {
  readonly url: string;
  readonly revision: number;
  readonly handlers: WatchHandlers;
  readonly signal: AbortSignal;
}

async function runWatch(options: WatchOptions): Promise<void> {
  const created = { ...ALL_KEYS, start_revision: String(options.revision + 1) };
  const answer = await request(`${options.url}/v3/watch`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ create_request: created }),
    bodyTimeout: 0,
    signal: options.signal,
  });
  answer.body.setEncoding("utf8");
  let buffered = "";
  for await (const chunk of answer.body) {
    buffered += chunk;
    const lines = buffered.split("\n");
    buffered = lines.pop() ?? "";
    lines.forEach((line) => handleLine(line, options.handlers));
  }
  throw new Error("watch ended");
}

function handleLine(line: string, handlers: WatchHandlers): void {
  if (line.trim() === "") {
    return;
  }
  const { result } = etcdWatchSchema.parse(JSON.parse(line));
  const values = result.events.map(decodeValue);
  handlers.handleBatch({ revision: result.header.revision, values });
}

function decodeValue(
  event: { type?: string | undefined; kv: { key: string; value: string; mod_revision: number } },
): PublishedValue {
  const path = decodeBase64(event.kv.key);
  const revision = event.kv.mod_revision;
  return event.type === "DELETE"
    ? { path, revision }
    : { path, revision, text: decodeBase64(event.kv.value) };
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString("utf8");
}
