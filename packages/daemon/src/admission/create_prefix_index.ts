import { ADMISSION_LIMITS } from "./constants.ts";

/** A change of an engine's prefix cache, as reported by the engine. */
export interface CacheEvent {
  /** Increases by one with each event of an upstream. */
  readonly sequence: number;
  readonly type: "stored" | "removed";
  readonly prefix: string;
}

/** Approximate index of the prompt prefixes that each upstream has in its cache. */
export interface PrefixIndex {
  /** Records that a prompt with this prefix was placed on an upstream. */
  recordPlacement(prefix: string, upstream: string, nowMs: number): void;
  /**
   * Applies cache events. Events with an old sequence number are ignored; a gap in the sequence
   * halves the confidence in what was recorded of this upstream before.
   */
  applyEvents(upstream: string, events: readonly CacheEvent[], nowMs: number): void;
  /** Returns the probability, from 0 to 1, that an upstream has a prefix in its cache. */
  estimateHitProbability(prefix: string | undefined, upstream: string, nowMs: number): number;
  /** Sequence number of the last applied event of an upstream. */
  getSequence(upstream: string): number;
  forgetUpstream(upstream: string): void;
}

interface Holder {
  readonly confidence: number;
  /** Number of sequence gaps of the upstream at the time when the holder was recorded. */
  readonly sequenceGaps: number;
  readonly untilMs: number;
}

const PLACEMENT_CONFIDENCE = 0.7;
const EVENT_CONFIDENCE = 1;
const SEQUENCE_GAP_FACTOR = 0.5;

/**
 * Creates an index with a limited number of prefixes, and of holders for each prefix. Beyond a
 * limit the least recently recorded one is evicted.
 */
export function createPrefixIndex(): PrefixIndex {
  const holders = new Map<string, Map<string, Holder>>();
  const sequences = new Map<string, number>();
  const sequenceGapCounts = new Map<string, number>();

  const recordHolder = (prefix: string, upstream: string, confidence: number, nowMs: number) => {
    const known = holders.get(prefix) ?? new Map<string, Holder>();
    known.delete(upstream);
    known.set(upstream, {
      confidence,
      sequenceGaps: sequenceGapCounts.get(upstream) ?? 0,
      untilMs: nowMs + ADMISSION_LIMITS.prefixTtlMs,
    });
    if (known.size > ADMISSION_LIMITS.maxPrefixHolders) {
      known.delete(known.keys().next().value as string);
    }
    holders.delete(prefix);
    holders.set(prefix, known);
    if (holders.size > ADMISSION_LIMITS.maxPrefixes) {
      holders.delete(holders.keys().next().value as string);
    }
  };

  return {
    recordPlacement: (prefix, upstream, nowMs) =>
      recordHolder(prefix, upstream, PLACEMENT_CONFIDENCE, nowMs),
    applyEvents: (upstream, events, nowMs) => {
      for (const event of events) {
        const last = sequences.get(upstream) ?? 0;
        if (event.sequence <= last) {
          continue;
        }
        if (event.sequence > last + 1) {
          sequenceGapCounts.set(upstream, (sequenceGapCounts.get(upstream) ?? 0) + 1);
        }
        sequences.set(upstream, event.sequence);
        if (event.type === "stored") {
          recordHolder(event.prefix, upstream, EVENT_CONFIDENCE, nowMs);
        } else {
          holders.get(event.prefix)?.delete(upstream);
        }
      }
    },
    estimateHitProbability: (prefix, upstream, nowMs) => {
      const holder = prefix === undefined ? undefined : holders.get(prefix)?.get(upstream);
      if (holder === undefined || holder.untilMs <= nowMs) {
        return 0;
      }
      return holder.confidence *
        SEQUENCE_GAP_FACTOR ** ((sequenceGapCounts.get(upstream) ?? 0) - holder.sequenceGaps);
    },
    getSequence: (upstream) => sequences.get(upstream) ?? 0,
    forgetUpstream: (upstream) => {
      sequences.delete(upstream);
      sequenceGapCounts.delete(upstream);
      for (const known of holders.values()) {
        known.delete(upstream);
      }
    },
  };
}
