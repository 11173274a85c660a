/** Kinds of requests that the load tool sends. */
export type LoadKind = "chat" | "order" | "read";

/** Targets, limits and mix of requests of one load run. */
export interface LoadPlan {
  /** Any caller URL of the fleet; further hosts come from `GET /v1/entry`. */
  readonly entryUrl: string;
  readonly apiKey: string;
  readonly model: string;
  readonly service: string;
  /** Path of the order within the service. */
  readonly orderPath: string;
  /** Path of the read within the service. */
  readonly readPath: string;
  /** Kind of work, sent in the `crocussail-kind` header; not a {@link LoadKind}. */
  readonly kind: string;
  readonly maxTokens: number;
  /** Maximum number of requests. */
  readonly requests: number;
  /** Time after which no request is started, in milliseconds. */
  readonly durationMs: number;
  readonly concurrency: number;
  readonly seed: number;
  /** Relative weight of each kind of request. */
  readonly weights: Readonly<Record<LoadKind, number>>;
  /** Share of streams that are dropped once and resumed at another host. */
  readonly resumeShare: number;
  /** Time without a byte of a response after which another host is tried, in milliseconds. */
  readonly stallMs: number;
  /** Time after which a response counts as late, in milliseconds. */
  readonly deadlineMs: number;
}
