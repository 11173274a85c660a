/** One change of a prefix cache. */
export interface PrefixCacheEvent {
  /** Increases by one with each event. */
  readonly sequence: number;
  readonly type: "stored" | "removed";
  readonly prefix: string;
}

/** LRU cache of prompt prefixes with a log of its changes. */
export interface PrefixCache {
  /** Returns the cached tokens of a prefix, then stores it as the most recently used. */
  touchPrefix(key: string, tokens: number): number;
  /** Returns the events after a sequence number, as far as they are still in the log. */
  listEvents(after: number): readonly PrefixCacheEvent[];
}

const MAX_EVENTS = 1_000;

/** Creates a prefix cache of `capacityTokens` that evicts the least recently used prefixes. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
  const entries = new Map<string, number>();
  const events: PrefixCacheEvent[] = [];
  let usedTokens = 0;
  let sequence = 0;

  const recordEvent = (type: PrefixCacheEvent["type"], prefix: string) => {
    sequence += 1;
    events.push({ sequence, type, prefix });
    if (events.length > MAX_EVENTS) {
      events.shift();
    }
  };

  return {
    touchPrefix: (key, tokens) => {
      const cachedTokens = entries.get(key) ?? 0;
      entries.delete(key);
      if (tokens > capacityTokens) {
        return 0;
      }
      entries.set(key, tokens);
      usedTokens += tokens - cachedTokens;
      if (cachedTokens === 0) {
        recordEvent("stored", key);
      }
      for (const [oldest, oldestTokens] of entries) {
        if (usedTokens <= capacityTokens) {
          break;
        }
        entries.delete(oldest);
        usedTokens -= oldestTokens;
        recordEvent("removed", oldest);
      }
      return Math.min(cachedTokens, tokens);
    },
    listEvents: (after) => events.filter((event) => event.sequence > after),
  };
}
