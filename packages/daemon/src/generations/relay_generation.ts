import type { ResultCodeName, ResultError } from "@crocussail/protocol";
import type { EngineStream } from "../adapters/engine_client.ts";
import { decideReconnect } from "./decide_reconnect.ts";
import type { RelayEnd, RelayOptions } from "./relay_options.ts";
import { relayStream } from "./relay_stream.ts";
import type { StreamEnd } from "./relay_stream.ts";

interface EngineConnection {
  /** Undefined when the connection could not be opened. */
  readonly stream?: EngineStream;
  /** Error code of the failed open; `upstreamLost` for an open stream, in case it breaks later. */
  readonly cause: ResultCodeName;
}

/** Relays one generation to its end and reconnects when the connection to the engine fails. */
export async function relayGeneration(options: RelayOptions): Promise<RelayEnd> {
  const { clock, limits } = options;
  let tokens = options.fromIndex;
  let failureCount = 0;
  let connection: EngineConnection = options.stream === undefined
    ? await resumeStream(options, tokens)
    : { stream: options.stream, cause: "upstreamLost" };
  for (;;) {
    const end = await relayConnection(options, connection, tokens);
    if (end.type !== "broken") {
      return end;
    }
    failureCount = end.tokens > tokens ? 0 : failureCount;
    tokens = end.tokens;
    const nowMs = clock.readMonotonicMs();
    const { cause } = connection;
    const effect = decideReconnect(
      { cause, failureCount, nowMs, deadlineMs: options.deadlineMs },
      limits,
    );
    if (effect.type === "stop") {
      return { type: "lost", tokens, cause: { code: cause, reason: effect.reason } };
    }
    failureCount += 1;
    await waitForDelay(options, effect.delayMs);
    options.recordReconnect(tokens, cause);
    connection = await resumeStream(options, tokens);
  }
}

function relayConnection(
  options: RelayOptions,
  connection: EngineConnection,
  tokens: number,
): Promise<StreamEnd> {
  if (options.isStopped()) {
    connection.stream?.close();
    return Promise.resolve({ type: "stopped", tokens });
  }
  return connection.stream === undefined
    ? Promise.resolve({ type: "broken", tokens })
    : relayStream(options, connection.stream, tokens);
}

async function resumeStream(options: RelayOptions, index: number): Promise<EngineConnection> {
  if (options.isStopped()) {
    return { cause: "upstreamLost" };
  }
  const resumed = await options.engine.resumeGeneration(options.url, options.generation, index);
  return resumed.caseOf<EngineConnection>({
    Left: (error: ResultError) => ({ cause: error.code }),
    Right: (stream) => ({ stream, cause: "upstreamLost" }),
  });
}

function waitForDelay(options: RelayOptions, delayMs: number): Promise<void> {
  if (delayMs === 0) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = options.clock.startTimer(delayMs, resolve);
    options.setInterrupt(() => {
      timer.cancel();
      resolve();
    });
  });
}
