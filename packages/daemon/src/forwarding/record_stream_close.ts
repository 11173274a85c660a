import { findBodyFraming } from "./find_body_framing.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";

/** How the response stream of an upstream closed. */
export interface StreamClose {
  /** Headers of the response, names and values alternating. */
  readonly rawHeaders: readonly string[];
  /** Reason of the failure; undefined when the stream ended normally. */
  readonly failure: string | undefined;
  /** Bytes received after the last complete event. */
  readonly remainingBytes: number;
}

/** Counts how a stream closed; logs it unless it ended normally with a length or in chunks. */
export function recordStreamClose(
  context: ForwardingContext,
  run: GenerationRun,
  { rawHeaders, failure, remainingBytes }: StreamClose,
): void {
  const framing = findBodyFraming(rawHeaders);
  const end = failure === undefined ? "end" : "failure";
  context.metrics.increment("forwarding.streams", 1, { framing, end });
  if (framing !== "connection" && failure === undefined && remainingBytes === 0) {
    return;
  }
  context.logger.writeEvent("streamClosed", {
    request: run.request.requestId,
    upstream: run.upstream?.record.id ?? "none",
    framing,
    failure: failure ?? "none",
    remainingBytes,
    events: run.sentEvents,
  });
}
