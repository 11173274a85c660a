import type { KvCacheSource } from "../adapters/deployment_dialect.ts";
import type { Upstream } from "../upstreams/mod.ts";

/** A generation of which its engine has confirmed that it runs it no more. */
export interface StoppedGeneration {
  readonly type: "stopped";
  /** The KV cache that the engine keeps; undefined if it had none. */
  readonly cache: KvCacheSource | undefined;
  /** The engine that has received all of the KV cache; undefined if none has. */
  readonly copiedTo: Upstream | undefined;
}

/**
 * What is known of the engine that a generation leaves: it has `stopped`; it is `unreachable`; it
 * lives but cannot be told to stop for now (`untold`); or its service has no call to stop
 * (`notStoppable`). It may run on unless it has stopped.
 */
export type FormerEngine =
  | StoppedGeneration
  | { readonly type: "unreachable" | "untold" | "notStoppable"; readonly reason: string };

/** State of the calls to stop a generation at one engine. */
export interface StopCalls {
  /** What the last call has shown. */
  latest: FormerEngine;
  /** The generation waits for the engine's response. */
  isAwaited: boolean;
}
