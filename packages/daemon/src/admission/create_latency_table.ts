import { ADMISSION_LIMITS } from "./constants.ts";

/** Moving averages of first-token delay and token gap by upstream and kind of request. */
export interface LatencyTable {
  recordFirstToken(upstream: string, kind: string, delayMs: number): void;
  recordGap(upstream: string, kind: string, gapMs: number): void;
  estimateFirstTokenMs(upstream: string, kind: string): number;
  estimateGapMs(upstream: string, kind: string): number;
}

const SMOOTHING_FACTOR = 0.1;

/**
 * Creates the table. Beyond `maxLatencies` averages of either sort, the one of the least recently
 * updated upstream and kind is evicted.
 */
export function createLatencyTable(): LatencyTable {
  const firstTokenDelays = new Map<string, number>();
  const gaps = new Map<string, number>();
  const updateAverage = (table: Map<string, number>, key: string, value: number) => {
    const known = table.get(key);
    table.delete(key);
    table.set(key, known === undefined ? value : known + SMOOTHING_FACTOR * (value - known));
    if (table.size > ADMISSION_LIMITS.maxLatencies) {
      table.delete(table.keys().next().value as string);
    }
  };
  const formatKey = (upstream: string, kind: string) => `${upstream}\0${kind}`;
  return {
    recordFirstToken: (upstream, kind, delayMs) =>
      updateAverage(firstTokenDelays, formatKey(upstream, kind), delayMs),
    recordGap: (upstream, kind, gapMs) => updateAverage(gaps, formatKey(upstream, kind), gapMs),
    estimateFirstTokenMs: (upstream, kind) =>
      firstTokenDelays.get(formatKey(upstream, kind)) ?? ADMISSION_LIMITS.defaultFirstTokenMs,
    estimateGapMs: (upstream, kind) =>
      gaps.get(formatKey(upstream, kind)) ?? ADMISSION_LIMITS.defaultGapMs,
  };
}
