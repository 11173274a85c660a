/** Process that made a claim. */
export interface ClaimOwner {
  readonly host: string;
  readonly incarnation: string;
}

/** Parses the owner of a claim `host/incarnation/number`. */
export function parseClaim(claim: string): ClaimOwner | undefined {
  const [host, incarnation] = claim.split("/");
  return host === undefined || incarnation === undefined ? undefined : { host, incarnation };
}
