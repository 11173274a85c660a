/** The loss of one upstream; all times are monotonic milliseconds of this host. */
export interface PartCrash {
  /** Id and start of the upstream. */
  readonly upstream: string;
  readonly atMs: number;
  /** Position in the prompt by part, of the requests in their first steps. */
  readonly parts: Map<string, number>;
}

/** Evidence about prompt parts, and the quarantined ones. */
export interface PromptPartState {
  /** Ordered by time, oldest first. */
  crashes: PartCrash[];
  /** Time of the last known sound execution, by part; least recently updated first. */
  readonly soundAtMs: Map<string, number>;
  /** Time of the last sound execution that some host has announced, by part. */
  readonly announcedAtMs: Map<string, number>;
  /** Time of the decision, by part. */
  readonly quarantinedAtMs: Map<string, number>;
}
