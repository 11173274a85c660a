import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** A generation that asks for a place on an engine. */
export interface AdmissionRequest {
  readonly requestId: string;
  readonly team: string;
  readonly kind: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  /** Monotonic time by which the whole answer is wanted. */
  readonly deadlineMs: number;
  /** Upstreams already tried for this request. */
  readonly excluded: ReadonlySet<string>;
  /** Key of the prompt's start, as the engines' cache events name it. */
  readonly prefixKey?: string;
  /** Tells that nobody waits for the grant any more; asked now and then. */
  readonly isAbandoned?: () => boolean;
}

/** Why a granted generation ended. */
export type AdmissionOutcome = "finished" | "cancelled" | "lost" | "notRun";

/** Right to run one generation on one upstream. */
export interface AdmissionGrant {
  readonly upstream: string;
  readonly url: string;
  /** Reports that tokens were produced. */
  noteTokens(produced: number): void;
  /** Gives the place back; later calls do nothing. */
  release(outcome: AdmissionOutcome): void;
}

/** Admission slice as the generations slice uses it. */
export interface Admission {
  /** Waits for a place within the deadline; a left value means that nothing ran. */
  requestGrant(request: AdmissionRequest): Promise<Either<ResultError, AdmissionGrant>>;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}
