import { HOST_LIMITS } from "./constants.ts";
import type { HostState, KnownHost } from "./host_state.ts";

/**
 * Lists the peer addresses of the hosts that read compressed datagrams. Of several hosts at one
 * address the last one to report counts: a process of an earlier build may have replaced it under
 * another name, and the former host is known for `removeAfterMs` more.
 */
export function listCompressionReaders({ hosts }: Pick<HostState, "hosts">): Set<string> {
  const latest = new Map<string, KnownHost>();
  for (const known of hosts.values()) {
    const address = known.report.peerAddress;
    if (known.lastReportMs >= (latest.get(address)?.lastReportMs ?? Number.NEGATIVE_INFINITY)) {
      latest.set(address, known);
    }
  }
  return new Set(
    [...latest].filter(([, { report }]) => report.protocolVersion >= HOST_LIMITS.compressionVersion)
      .map(([address]) => address),
  );
}
