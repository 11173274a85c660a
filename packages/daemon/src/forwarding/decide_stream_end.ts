import type { BodyFraming } from "./body_framing.ts";

/** What is known of a stream when its upstream has ended the response. */
export interface EndedStream {
  readonly framing: BodyFraming;
  /** Whether a complete event has been received. */
  readonly hasEvent: boolean;
  /** Bytes received after the last complete event. */
  readonly remainingBytes: number;
}

/** Whether an ended stream is complete, or the reason why it was broken off. */
export type StreamEnd =
  | { readonly type: "complete" }
  | { readonly type: "brokenOff"; readonly reason: string };

/**
 * Decides whether a stream that ended without a transport error is complete. An upstream that
 * crashes may close its connections normally, so the end of a connection alone proves nothing.
 */
export function decideStreamEnd({ framing, hasEvent, remainingBytes }: EndedStream): StreamEnd {
  if (remainingBytes > 0) {
    return { type: "brokenOff", reason: "stream ended within an event" };
  }
  if (framing === "connection" && !hasEvent) {
    return { type: "brokenOff", reason: "connection ended before the first event" };
  }
  return { type: "complete" };
}
