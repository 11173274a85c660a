import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import type { Upstream } from "../upstreams/mod.ts";

/** A generation that its engine has confirmed to have stopped. */
export interface StoppedGeneration {
  readonly type: "stopped";
  readonly upstream: Upstream;
  /** The KV cache that the engine keeps, from which the generation may go on there as well. */
  readonly cache: KvCacheSource | undefined;
  /** The engine that has received all of the KV cache; undefined if none has. */
  readonly copiedTo: Upstream | undefined;
}

/**
 * What is known of the engine that a generation leaves: it has `stopped`, or runs no such
 * generation; it is `unreachable`; it is `resting`, so that it must not be called now, or
 * `evacuated`, so that it must not be called any more; or its service has no call to stop
 * (`notStoppable`). It may run on unless it has stopped.
 */
export type FormerEngine =
  | StoppedGeneration
  | {
    readonly type: "unreachable" | "resting" | "evacuated" | "notStoppable";
    readonly reason: string;
  };

/** State of the calls to stop a generation at one engine. */
export interface StopCalls {
  /** What the last call has shown. */
  latest: FormerEngine;
  /** The generation waits for the engine's response. */
  isAwaited: boolean;
}
