import { ADMISSION_LIMITS } from "./constants.ts";

/** A change of an engine's prefix cache as it reports it. */
export interface CacheEvent {
  /** Counts up by one for each event of an upstream. */
  readonly sequence: number;
  readonly type: "stored" | "removed";
  readonly prefix: string;
}

/** Approximate memory of which upstream holds which prompt prefix. */
export interface PrefixIndex {
  /** Records that a prompt with this prefix was placed on an upstream. */
  notePlacement(prefix: string, upstream: string, nowMs: number): void;
  /** Takes late events in; a gap in the sequence halves the trust in older entries. */
  applyEvents(upstream: string, events: readonly CacheEvent[], nowMs: number): void;
  /** Returns how probably an upstream holds a prefix, from 0 to 1. */
  estimateAffinity(prefix: string | undefined, upstream: string, nowMs: number): number;
  /** Sequence number of the last event taken in. */
  getSequence(upstream: string): number;
  forgetUpstream(upstream: string): void;
}

interface Holder {
  readonly trust: number;
  /** Event gaps of the upstream that were known when the holder was noted. */
  readonly gaps: number;
  readonly untilMs: number;
}

const PLACEMENT_TRUST = 0.7;
const EVENT_TRUST = 1;
const GAP_FACTOR = 0.5;

/** Creates an index bounded by prefixes and by holders of each; the oldest is dropped. */
export function createPrefixIndex(): PrefixIndex {
  const holders = new Map<string, Map<string, Holder>>();
  const sequences = new Map<string, number>();
  const gaps = new Map<string, number>();

  const noteHolder = (prefix: string, upstream: string, trust: number, nowMs: number) => {
    const known = holders.get(prefix) ?? new Map<string, Holder>();
    known.delete(upstream);
    known.set(upstream, {
      trust,
      gaps: gaps.get(upstream) ?? 0,
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
    notePlacement: (prefix, upstream, nowMs) =>
      noteHolder(prefix, upstream, PLACEMENT_TRUST, nowMs),
    applyEvents: (upstream, events, nowMs) => {
      for (const event of events) {
        const last = sequences.get(upstream) ?? 0;
        if (event.sequence <= last) {
          continue;
        }
        if (event.sequence > last + 1) {
          gaps.set(upstream, (gaps.get(upstream) ?? 0) + 1);
        }
        sequences.set(upstream, event.sequence);
        if (event.type === "stored") {
          noteHolder(event.prefix, upstream, EVENT_TRUST, nowMs);
        } else {
          holders.get(event.prefix)?.delete(upstream);
        }
      }
    },
    estimateAffinity: (prefix, upstream, nowMs) => {
      const holder = prefix === undefined ? undefined : holders.get(prefix)?.get(upstream);
      if (holder === undefined || holder.untilMs <= nowMs) {
        return 0;
      }
      return holder.trust * GAP_FACTOR ** ((gaps.get(upstream) ?? 0) - holder.gaps);
    },
    getSequence: (upstream) => sequences.get(upstream) ?? 0,
    forgetUpstream: (upstream) => {
      sequences.delete(upstream);
      gaps.delete(upstream);
      for (const known of holders.values()) {
        known.delete(upstream);
      }
    },
  };
}
