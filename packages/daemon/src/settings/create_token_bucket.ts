/** Options of {@link createTokenBucket}. */
export interface TokenBucketOptions {
  /** Capacity of the bucket, in tokens. */
  readonly burst: number;
  readonly perSecond: number;
  /** Time of creation on the monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/** Rate limit with a bounded burst. */
export interface TokenBucket {
  /** Takes a token if one is left. */
  tryTake(nowMs: number): boolean;
}

/** Creates a full bucket. */
export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  let tokens = options.burst;
  let filledAtMs = options.nowMs;
  return {
    tryTake: (nowMs) => {
      const gained = (Math.max(0, nowMs - filledAtMs) / 1_000) * options.perSecond;
      tokens = Math.min(options.burst, tokens + gained);
      filledAtMs = Math.max(filledAtMs, nowMs);
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
