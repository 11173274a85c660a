import type { LengthKey } from "./length_key.ts";

/** A generation as an owner sees it; times are on the owner's monotonic clock. */
export interface QueueEntry extends LengthKey {
  readonly id: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Weight of the team. */
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  readonly askedMs: number;
  /** Time by which the whole answer is wanted. */
  readonly deadlineMs: number;
  /** Target time between tokens, in milliseconds. */
  readonly tokenGapMs: number;
}
