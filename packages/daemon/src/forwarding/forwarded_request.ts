import type { CallerRequestHead } from "../adapters/deployment_dialect.ts";
import type { Route, ServiceSettings } from "../routes/mod.ts";
import type { CallerReply } from "./caller_reply.ts";

/** A request that has a route and, where needed, a team. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller wrote them. */
  readonly target: string;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly head: CallerRequestHead;
  /** Digest of what makes it the same when it comes again. */
  readonly fingerprint: string;
  readonly route: Route;
  readonly service: ServiceSettings;
  readonly team: string | undefined;
  readonly priority: number;
  /** Monotonic time at which its first byte was seen. */
  readonly arrivedMs: number;
  /** Monotonic time by which it has its final answer. */
  readonly limitMs: number;
  readonly reply: CallerReply;
}
