/** State of a timeout whose timer has just fired. */
export interface TimeoutInput {
  /** Last sign of progress. */
  readonly touchedMs: number;
  /** Time at which the timer was due. */
  readonly dueMs: number;
  readonly nowMs: number;
  readonly limitMs: number;
  /** Lateness of a timer that shows a pause of the process. */
  readonly pauseMs: number;
}

/** Whether a timeout has passed. */
export type TimeoutEffect =
  | { readonly type: "expire" }
  | { readonly type: "wait"; readonly delayMs: number };

/**
 * Decides whether a timeout has passed. After a pause of this process the silence may be its own:
 * what the other side sent lies unread, so the timeout waits once more in full.
 */
export function decideTimeout(input: TimeoutInput): TimeoutEffect {
  const { nowMs, limitMs } = input;
  if (nowMs - input.dueMs > input.pauseMs) {
    return { type: "wait", delayMs: limitMs };
  }
  const leftMs = input.touchedMs + limitMs - nowMs;
  return leftMs <= 0 ? { type: "expire" } : { type: "wait", delayMs: leftMs };
}
