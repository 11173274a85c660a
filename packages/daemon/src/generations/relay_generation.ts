import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { EngineClient, EngineStream } from "../adapters/engine_client.ts";
import { decideRelay } from "./decide_relay.ts";

/** Options of {@link relayGeneration}. */
export interface RelayOptions {
  readonly engine: EngineClient;
  readonly url: string;
  readonly generation: string;
  /** Index of the first token to deliver. */
  readonly fromIndex: number;
  /** Stream already open; without one the relay resumes. */
  readonly stream?: EngineStream;
  readonly deliverToken: (index: number, token: string) => Promise<void>;
  readonly isCancelled: () => boolean;
}

/** Result of a relay that reached the engine's finish event. */
export interface RelayResult {
  readonly tokens: number;
  readonly reason: string;
}

const MAX_RECONNECTS = 3;

/** Relays one generation to its end, reconnecting after link faults. */
export async function relayGeneration(
  options: RelayOptions,
): Promise<Either<ResultError, RelayResult>> {
  const { engine, url, generation } = options;
  let nextIndex = options.fromIndex;
  let stream = options.stream;
  for (let attempt = 0; attempt <= MAX_RECONNECTS; attempt++) {
    if (stream === undefined) {
      const resumed = await engine.resumeGeneration(url, generation, nextIndex);
      stream = resumed.orDefault(undefined as unknown as EngineStream);
    }
    if (stream !== undefined) {
      const before = nextIndex;
      const pass = await relayStream(stream, { ...options, fromIndex: nextIndex });
      if (pass.reason !== undefined) {
        return Right({ tokens: pass.nextIndex, reason: pass.reason });
      }
      nextIndex = pass.nextIndex;
      attempt = nextIndex > before ? 0 : attempt;
    }
    if (options.isCancelled()) {
      break;
    }
    stream = undefined;
  }
  const detail = `engine at ${url} was lost after ${nextIndex} tokens`;
  return Left(createResultError("upstreamLost", detail, { members: { tokens: nextIndex } }));
}

async function relayStream(
  stream: EngineStream,
  options: RelayOptions,
): Promise<{ nextIndex: number; reason?: string }> {
  let nextIndex = options.fromIndex;
  try {
    for await (const event of stream.events) {
      const effect = decideRelay({ generation: options.generation, nextIndex }, event);
      if (effect.type === "reconnect" || options.isCancelled()) {
        break;
      }
      if (effect.type === "finish") {
        return { nextIndex, reason: effect.reason };
      }
      if (effect.type === "deliver") {
        await options.deliverToken(effect.index, effect.token);
        nextIndex = effect.index + 1;
      }
    }
  } catch {
    return { nextIndex };
  } finally {
    stream.close();
  }
  return { nextIndex };
}
