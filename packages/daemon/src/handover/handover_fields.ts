/** What a host tells of a request that it hands to another host. */
export interface HandoverFields {
  /** Name of the host that received it from its caller. */
  readonly fromHost: string;
  /** Time since its arrival there, in milliseconds. */
  readonly ageMs: number;
  /** Whether that host has counted it in the retry budget. */
  readonly isCounted: boolean;
}

/** The parts of a request that the signature covers besides the fields. */
export interface SignedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
}
