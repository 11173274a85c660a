/** State of a timeout whose timer has just fired. */
export interface TimeoutInput {
  /** Time of the last activity. */
  readonly lastActivityMs: number;
  /** Time at which the timer was due. */
  readonly dueMs: number;
  readonly nowMs: number;
  readonly limitMs: number;
  /** Delay of the timer above which the process is considered to have been paused. */
  readonly pauseThresholdMs: number;
}

/** Whether a timeout has passed. */
export type TimeoutEffect =
  | { readonly type: "expire" }
  | { readonly type: "wait"; readonly delayMs: number };

/**
 * Decides whether a timeout has passed. After a pause of this process, data from the other side may
 * not have been read yet, so the full timeout starts anew.
 */
export function decideTimeout(input: TimeoutInput): TimeoutEffect {
  const { nowMs, limitMs } = input;
  if (nowMs - input.dueMs > input.pauseThresholdMs) {
    return { type: "wait", delayMs: limitMs };
  }
  const leftMs = input.lastActivityMs + limitMs - nowMs;
  return leftMs <= 0 ? { type: "expire" } : { type: "wait", delayMs: leftMs };
}
