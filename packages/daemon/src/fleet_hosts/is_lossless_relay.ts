import type { HostReport } from "./host_report_schema.ts";

/**
 * Whether a relay forwards reports unchanged. Those of protocol version 0 drop the fields that tell
 * of evacuations and cold upstreams.
 */
export function isLosslessRelay({ protocolVersion }: Pick<HostReport, "protocolVersion">): boolean {
  return protocolVersion > 0;
}
