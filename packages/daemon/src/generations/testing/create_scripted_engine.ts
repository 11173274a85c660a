import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import { createEventQueue } from "../../adapters/create_event_queue.ts";
import type { EngineClient, EngineStream } from "../../adapters/engine_client.ts";
import type { EngineEvent } from "../../adapters/engine_event_schema.ts";

/** Returns the outcome of one connection that requests a generation from an index on. */
export type ConnectionScript = (generation: string, from: number) => ScriptedConnection;

/** A connect error, or events after which the connection is closed or stalls. */
export type ScriptedConnection =
  | ResultError
  | { readonly events: readonly EngineEvent[]; readonly then: "cut" | "stall" };

/** Engine client whose connections follow a script. */
export interface ScriptedEngine extends EngineClient {
  /** Calls in order, for example `start plan-1`, `resume 3`, `cancel plan-1`. */
  readonly calls: string[];
}

/** Creates a scripted engine; the last script is used for all further connections. */
export function createScriptedEngine(
  scripts: readonly ConnectionScript[],
  cancelFailure?: ResultError,
): ScriptedEngine {
  const calls: string[] = [];
  let connectionCount = 0;
  const openConnection = (generation: string, from: number) => {
    const script = scripts[Math.min(connectionCount, scripts.length - 1)];
    connectionCount += 1;
    const connection = script?.(generation, from) ?? createResultError("upstreamLost", "no script");
    if ("code" in connection) {
      return Promise.resolve(Left(connection));
    }
    return Promise.resolve(Right(createStream(connection)));
  };
  return {
    calls,
    startGeneration: (url, { generation }) => {
      calls.push(`start ${url}`);
      return openConnection(generation, 0);
    },
    resumeGeneration: (_url, generation, index) => {
      calls.push(`resume ${index}`);
      return openConnection(generation, index);
    },
    cancelGeneration: (url) => {
      calls.push(`cancel ${url}`);
      return Promise.resolve(cancelFailure === undefined ? Right(undefined) : Left(cancelFailure));
    },
  };
}

function createStream(connection: Exclude<ScriptedConnection, ResultError>): EngineStream {
  const ignore = () => {};
  const queue = createEventQueue({
    maxEvents: Number.POSITIVE_INFINITY,
    pauseSource: ignore,
    resumeSource: ignore,
    closeSource: ignore,
  });
  queue.pushEvents(connection.events);
  if (connection.then === "cut") {
    queue.end();
  }
  return queue.stream;
}
