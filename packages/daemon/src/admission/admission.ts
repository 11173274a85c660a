import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** A request for a grant to run one generation on an engine. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly team: string;
  readonly kind: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  /** Deadline for the complete response, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Upstreams already tried for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Key of the prompt prefix, as used in the engines' cache events. */
  readonly prefixKey?: string;
  /** Returns true once the caller has disconnected; polled while the request waits. */
  readonly isAbandoned?: () => boolean;
}

/** Why a granted generation ended. */
export type AdmissionOutcome = "finished" | "cancelled" | "lost" | "notRun";

/** Right to run one generation on one upstream. */
export interface AdmissionGrant {
  readonly upstream: string;
  readonly url: string;
  /** Reports the number of tokens produced so far. */
  recordTokens(produced: number): void;
  /** Releases the grant; later calls have no effect. */
  release(outcome: AdmissionOutcome): void;
}

/** Admission as the generations module uses it. */
export interface Admission {
  /** Waits for a grant until the deadline; a left value means that nothing was executed. */
  requestGrant(request: AdmissionRequest): Promise<Either<ResultError, AdmissionGrant>>;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}
