import type { EngineStream } from "../adapters/engine_client.ts";
import type { EngineEvent } from "../adapters/engine_event_schema.ts";
import { createIdleTimer } from "./create_idle_timer.ts";
import { decideRelay } from "./decide_relay.ts";
import type { RelayEnd, RelayOptions } from "./relay_options.ts";
import { waitForCaller } from "./wait_for_caller.ts";

/** How one connection to the engine ended; `broken` means without a valid finish event. */
export type StreamEnd =
  | Exclude<RelayEnd, { readonly type: "lost" }>
  | { readonly type: "broken"; readonly tokens: number };

/** Relays the events of one connection until it ends, fails or stalls. */
export async function relayStream(
  options: RelayOptions,
  stream: EngineStream,
  fromIndex: number,
): Promise<StreamEnd> {
  const { clock, limits, writer } = options;
  const { stallMs, pauseThresholdMs } = limits;
  const startTimer = () =>
    createIdleTimer({
      clock,
      limitMs: stallMs,
      pauseThresholdMs,
      handleExpiry: stream.close,
    });
  options.setInterrupt(stream.close);
  let stallTimer = startTimer();
  let tokens = fromIndex;
  try {
    for (;;) {
      const events = await stream.readBatch();
      if (options.isStopped()) {
        return { type: "stopped", tokens };
      }
      if (events === undefined) {
        return { type: "broken", tokens };
      }
      const step = applyBatch(options, events, tokens);
      const isWritable = writer.flush();
      tokens = step.tokens;
      options.recordProgress(tokens);
      if (step.type !== "continue") {
        return step;
      }
      stallTimer.touch();
      if (!isWritable) {
        stallTimer.stop();
        if (!await waitForCaller(options)) {
          return { type: "slow", tokens };
        }
        stallTimer = startTimer();
      }
    }
  } finally {
    stallTimer.stop();
    stream.close();
  }
}

type BatchStep = StreamEnd | { readonly type: "continue"; readonly tokens: number };

function applyBatch(
  options: RelayOptions,
  events: readonly EngineEvent[],
  fromIndex: number,
): BatchStep {
  const { writer, generation } = options;
  let tokens = fromIndex;
  for (const event of events) {
    const decision = decideRelay(generation, tokens, event);
    if (decision === "reconnect") {
      return { type: "broken", tokens };
    }
    if (decision === "finish") {
      return { type: "finished", tokens, reason: event.finish ?? "" };
    }
    if (decision === "deliver") {
      writer.addToken(tokens, event.token ?? "");
      tokens += 1;
    }
  }
  return { type: writer.isTooLarge() ? "tooLarge" : "continue", tokens };
}
