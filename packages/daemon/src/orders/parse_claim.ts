/** Process that made a claim. */
export interface ClaimProcess {
  readonly host: string;
  readonly incarnation: string;
}

/** Parses the process that made a claim `host/incarnation/number`. */
export function parseClaim(claim: string): ClaimProcess | undefined {
  const [host, incarnation] = claim.split("/");
  return host === undefined || incarnation === undefined ? undefined : { host, incarnation };
}
