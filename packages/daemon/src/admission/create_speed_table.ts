import { ADMISSION_LIMITS } from "./constants.ts";

/** Moving averages of first-token delay and token gap by upstream and kind of request. */
export interface SpeedTable {
  recordFirstToken(upstream: string, kind: string, delayMs: number): void;
  recordGap(upstream: string, kind: string, gapMs: number): void;
  estimateFirstTokenMs(upstream: string, kind: string): number;
  estimateGapMs(upstream: string, kind: string): number;
}

const SMOOTHING_FACTOR = 0.1;

/** Creates the table; at its bound the least recently updated pair is dropped. */
export function createSpeedTable(): SpeedTable {
  const firstTokens = new Map<string, number>();
  const gaps = new Map<string, number>();
  const updateAverage = (table: Map<string, number>, key: string, value: number) => {
    const known = table.get(key);
    table.delete(key);
    table.set(key, known === undefined ? value : known + SMOOTHING_FACTOR * (value - known));
    if (table.size > ADMISSION_LIMITS.maxSpeeds) {
      table.delete(table.keys().next().value as string);
    }
  };
  const formatKey = (upstream: string, kind: string) => `${upstream}\0${kind}`;
  return {
    recordFirstToken: (upstream, kind, delayMs) =>
      updateAverage(firstTokens, formatKey(upstream, kind), delayMs),
    recordGap: (upstream, kind, gapMs) => updateAverage(gaps, formatKey(upstream, kind), gapMs),
    estimateFirstTokenMs: (upstream, kind) =>
      firstTokens.get(formatKey(upstream, kind)) ?? ADMISSION_LIMITS.defaultFirstTokenMs,
    estimateGapMs: (upstream, kind) =>
      gaps.get(formatKey(upstream, kind)) ?? ADMISSION_LIMITS.defaultGapMs,
  };
}
