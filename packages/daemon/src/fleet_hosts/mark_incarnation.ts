/**
 * Adds a host's protocol version to its incarnation, after `.p`. A relay of an earlier build encodes
 * the reports that it forwards anew and drops the fields that it does not know, but it keeps the
 * incarnation.
 */
export function markIncarnation(incarnation: string, protocolVersion: number): string {
  return protocolVersion === 0 ? incarnation : `${incarnation}.p${protocolVersion}`;
}
