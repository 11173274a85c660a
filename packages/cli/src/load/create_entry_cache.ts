import { entryAnswerSchema } from "@crocussail/protocol";
import type { Clock, EntryAnswer, RandomSource } from "@crocussail/protocol";
import { request } from "undici";

/** Options of {@link createEntryCache}. */
export interface EntryCacheOptions {
  readonly entryUrl: string;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Hosts that a caller uses; caches the response of `GET /v1/entry` for its stated time. */
export interface EntryCache {
  /** Picks a host by weight, if possible not one of `excluded`; returns its base URL. */
  pickUrl(excluded?: readonly string[]): Promise<string>;
  /** Returns a prefix of idempotency keys. */
  getKeyPrefix(): Promise<string | undefined>;
  /** Drops the cached response; used after a host could not be reached. */
  clear(): void;
}

const ENTRY_TIMEOUT_MS = 1_000;

/** Creates an empty cache. */
export function createEntryCache(options: EntryCacheOptions): EntryCache {
  let known: { answer: EntryAnswer; expiresAtMs: number } | undefined;
  let urls = [options.entryUrl];

  const fetchEntry = async (): Promise<EntryAnswer> => {
    const failures: string[] = [];
    for (const url of urls) {
      try {
        const answer = await request(`${url}/v1/entry`, { headersTimeout: ENTRY_TIMEOUT_MS });
        return entryAnswerSchema.parse(await answer.body.json());
      } catch (error) {
        failures.push(`${url}: ${error}`);
      }
    }
    throw new Error(`no host responded to GET /v1/entry: ${failures.join("; ")}`);
  };

  const getAnswer = async (): Promise<EntryAnswer> => {
    const nowMs = options.clock.readMonotonicMs();
    if (known !== undefined && known.expiresAtMs > nowMs) {
      return known.answer;
    }
    const answer = await fetchEntry();
    urls = [...new Set([...answer.addresses.map(formatUrl), options.entryUrl])];
    known = { answer, expiresAtMs: nowMs + answer.ttl_ms };
    return answer;
  };

  return {
    pickUrl: async (excluded = []) => {
      const { addresses } = await getAnswer();
      const others = addresses.filter((item) => !excluded.includes(formatUrl(item)));
      const candidates = others.length > 0 ? others : addresses;
      const total = candidates.reduce((sum, item) => sum + item.weight, 0);
      let remaining = options.random.nextFloat() * total;
      const picked = candidates.find((item) => (remaining -= item.weight) < 0) ?? candidates[0];
      return picked === undefined ? options.entryUrl : formatUrl(picked);
    },
    getKeyPrefix: async () => (await getAnswer()).key_prefix,
    clear: () => {
      known = undefined;
    },
  };
}

function formatUrl(item: { address: string; port: number }): string {
  const host = item.address.includes(":") ? `[${item.address}]` : item.address;
  return `http://${host}:${item.port}`;
}
