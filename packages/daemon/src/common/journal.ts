/** One decision about a request. */
export interface JournalEntry {
  /** Wall-clock time in ISO 8601. */
  readonly time: string;
  /** Settings revision in force at the time. */
  readonly revision: number;
  /** Slice that decided. */
  readonly slice: string;
  /** What was decided, for example `granted`, `queued`, `refused`, `retried`. */
  readonly decision: string;
  /** Inputs of the decision: candidates, scores, waits, reasons; no secrets. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Bounded memory of decisions by request; the oldest request is dropped at the bound. */
export interface Journal {
  recordDecision(
    requestId: string,
    slice: string,
    decision: string,
    fields?: Readonly<Record<string, unknown>>,
  ): void;
  /** Requests remembered. */
  countRequests(): number;
  /** Entries of one request in order; empty when unknown or dropped. */
  listEntries(requestId: string): readonly JournalEntry[];
}
