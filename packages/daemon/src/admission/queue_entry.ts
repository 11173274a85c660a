import type { LengthKey } from "./length_key.ts";

/** A queued or running generation; times are on this host's monotonic clock. */
export interface QueueEntry extends LengthKey {
  readonly id: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Weight of the team. */
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  readonly arrivedMs: number;
  /** Deadline for the complete response. */
  readonly deadlineMs: number;
  /** Target time between tokens, in milliseconds. */
  readonly tokenGapMs: number;
}
