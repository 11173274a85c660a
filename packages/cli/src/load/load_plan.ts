/** Kinds of requests that the load tool sends. */
export type LoadKind = "chat" | "order" | "read";

/** Bounds and mix of one load run. */
export interface LoadPlan {
  /** Any caller URL of the fleet; further hosts come from `GET /v1/entry`. */
  readonly entryUrl: string;
  readonly apiKey: string;
  readonly model: string;
  readonly service: string;
  /** Path of the order below the service. */
  readonly orderPath: string;
  /** Path of the read below the service. */
  readonly readPath: string;
  /** Kind of work named in the `crocussail-kind` header. */
  readonly kind: string;
  readonly maxTokens: number;
  /** Requests sent at most. */
  readonly requests: number;
  /** Time after which no request is started, in milliseconds. */
  readonly durationMs: number;
  readonly concurrency: number;
  readonly seed: number;
  /** Relative weight of each kind of request. */
  readonly weights: Readonly<Record<LoadKind, number>>;
  /** Share of streams that are dropped once and resumed at another host. */
  readonly resumeShare: number;
  /** Time without a byte of an answer after which another host is tried, in milliseconds. */
  readonly stallMs: number;
  /** Time after which an answer counts as late, in milliseconds. */
  readonly deadlineMs: number;
}
