/** A request to copy the KV cache of a generation to another engine while it keeps running. */
export interface KvCacheCopyRequest {
  readonly sourceAddress: string;
  readonly targetAddress: string;
  readonly requestId: string;
  readonly timeoutMs: number;
}

/**
 * Outcome of a copy: `copied`; `absent` when the source runs no such generation; `busy` while an
 * earlier copy is in progress; `noRoom` when the target has no room or cannot be reached; `failed`
 * when the source sent no usable response.
 */
export type KvCacheCopyResult =
  | { readonly type: "copied"; readonly handle: string }
  | { readonly type: "absent" | "busy" | "noRoom" }
  | { readonly type: "failed"; readonly reason: string };

/**
 * Outcome of a stop: `stopped`; `absent` when the engine runs no such generation; `failed` when it
 * sent no usable response.
 */
export type GenerationStopResult =
  | { readonly type: "stopped" | "absent" }
  | { readonly type: "failed"; readonly reason: string };

/** Calls to engines about the KV cache of generations. */
export interface KvCacheClient {
  copyKvCache(request: KvCacheCopyRequest): Promise<KvCacheCopyResult>;
  /** Stops a generation at the source, which `targetAddress` has taken over, and frees its cache. */
  stopGeneration(request: KvCacheCopyRequest): Promise<GenerationStopResult>;
}
