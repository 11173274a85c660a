/** One decision about a request. */
export interface JournalEntry {
  /** Wall-clock time in ISO 8601. */
  readonly time: string;
  /** Settings revision in effect at the time. */
  readonly revision: number;
  /** Module that made the decision, for example `admission`. */
  readonly slice: string;
  /** Outcome, for example `granted`, `queued`, `refused`, `retried`. */
  readonly decision: string;
  /** Inputs of the decision: candidates, scores, wait times, reasons; no secrets. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** In-memory log of decisions by request; when it is full, the oldest request is evicted. */
export interface Journal {
  recordDecision(
    requestId: string,
    slice: string,
    decision: string,
    fields?: Readonly<Record<string, unknown>>,
  ): void;
  /** Number of requests in the journal. */
  countRequests(): number;
  /** Entries of one request, oldest first; empty if the request is unknown or was evicted. */
  listEntries(requestId: string): readonly JournalEntry[];
}
