/** Resolves to whether an address, `ip:port`, accepts a connection and keeps it; never rejects. */
export type ProbeConnection = (address: string, options: ProbeOptions) => Promise<boolean>;

/** Times of a probe, in milliseconds. */
export interface ProbeOptions {
  readonly timeoutMs: number;
  /** Time for which an open connection must last: a reset arrives within a round trip. */
  readonly holdMs: number;
}
