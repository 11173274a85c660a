/** A request to copy the KV cache of a generation to another engine while it keeps running. */
export interface KvCacheCopyRequest {
  readonly sourceAddress: string;
  readonly targetAddress: string;
  readonly requestId: string;
  readonly timeoutMs: number;
}

/** A request to free a KV cache at the engine that keeps it, and its copy at the target. */
export interface KvCacheFreeRequest {
  readonly sourceAddress: string;
  readonly handle: string;
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
 * Outcome of a stop: `stopped`, with the handle of the KV cache that the source keeps, and whether
 * the target has received all of it; `absent` when the engine runs no such generation; `refused`
 * when it responds otherwise, so that it runs on; `failed` when it sent no response.
 */
export type GenerationStopResult =
  | { readonly type: "stopped"; readonly handle: string; readonly isCopied: boolean }
  | { readonly type: "absent" }
  | { readonly type: "refused" | "failed"; readonly reason: string };

/** Calls to engines about the KV cache of generations. */
export interface KvCacheClient {
  copyKvCache(request: KvCacheCopyRequest): Promise<KvCacheCopyResult>;
  /** Stops a generation at the source, then copies the rest of its KV cache to the target. */
  stopGeneration(request: KvCacheCopyRequest): Promise<GenerationStopResult>;
  /** Frees a KV cache that is not used; a failure is not reported, as engines expire it. */
  freeKvCache(request: KvCacheFreeRequest): Promise<void>;
}
