import type { CallerRequestHead } from "../adapters/deployment_dialect.ts";
import type { Route, ServiceSettings } from "../routes/mod.ts";
import type { CallerReply } from "./caller_reply.ts";

/** A validated request with its route and, where one is required, its team. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly head: CallerRequestHead;
  /** Digest that identifies repetitions of the same request. */
  readonly fingerprint: string;
  /** Keys of the parts of its prompt in the quarantine, without the last part. */
  readonly partKeys: readonly string[];
  readonly route: Route;
  readonly service: ServiceSettings;
  readonly team: string | undefined;
  readonly priority: number;
  /** Monotonic time at which its head was received. */
  readonly arrivedAtMs: number;
  /** Monotonic time by which the final response must be sent. */
  readonly deadlineAtMs: number;
  /** Name of the host that received it from its caller and handed it to this one. */
  readonly handedOverBy: string | undefined;
  /** Whether that host has counted it in the retry budget. */
  readonly isCounted: boolean;
  readonly reply: CallerReply;
}
