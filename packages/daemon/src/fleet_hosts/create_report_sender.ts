import { HOST_LIMITS } from "./constants.ts";
import { encodeHostDatagram } from "./encode_host_datagram.ts";
import type { EncodedReport } from "./encode_host_datagram.ts";
import { encodeHostReport } from "./encode_host_report.ts";
import type { AgedReport } from "./host_datagram.ts";
import { splitReports } from "./split_reports.ts";

/** Options of {@link createReportSender}. */
export interface ReportSenderOptions {
  /** Peer address and data centre of this host. */
  readonly sender: { readonly address: string; readonly dataCentre: string };
  readonly fleetKey: string;
  readonly sendDatagram: (address: string, datagram: Uint8Array) => void;
  /** Lists the peer addresses of the hosts that can read compressed datagrams. */
  readonly listCompressionReaders: () => ReadonlySet<string>;
}

/** Sends reports, this host's own and forwarded ones. */
export interface ReportSender {
  sendReports(addresses: readonly string[], reports: readonly AgedReport[]): void;
}

/**
 * Creates the sending of reports in as few datagrams as they fit into. Reports that need more than
 * one are compressed for the hosts that can read that: a batch of 24 shrinks to a third, and
 * each datagram costs its receiver more than the decompression.
 */
export function createReportSender(options: ReportSenderOptions): ReportSender {
  const { sender, fleetKey } = options;
  const encodeCompressed = (reports: readonly EncodedReport[]): Uint8Array[] => {
    const datagram = encodeHostDatagram(sender, reports, fleetKey, [], true);
    const parts = Math.ceil(datagram.length / HOST_LIMITS.maxCompressedBytes);
    if (parts === 1 || reports.length === 1) {
      return [datagram];
    }
    const size = Math.ceil(reports.length / parts);
    return Array.from(
      { length: Math.ceil(reports.length / size) },
      (_, part) => encodeCompressed(reports.slice(part * size, (part + 1) * size)),
    ).flat();
  };
  const sendAll = (addresses: readonly string[], datagrams: readonly Uint8Array[]) => {
    for (const datagram of datagrams) {
      addresses.forEach((address) => options.sendDatagram(address, datagram));
    }
  };

  return {
    sendReports: (addresses, reports) => {
      const targets = addresses.filter((address) => address !== sender.address);
      if (targets.length === 0 || reports.length === 0) {
        return;
      }
      const encoded = reports.map(({ report, ageMs, bytes, isPartial }) => ({
        bytes: bytes ?? encodeHostReport(report, isPartial),
        ageMs,
      }));
      const groups = splitReports(encoded, HOST_LIMITS.maxBatchBytes);
      const readers = groups.length > 1 ? options.listCompressionReaders() : new Set<string>();
      const compressed = targets.filter((address) => readers.has(address));
      const plain = targets.filter((address) => !readers.has(address));
      if (compressed.length > 0) {
        sendAll(compressed, encodeCompressed(encoded));
      }
      if (plain.length > 0) {
        sendAll(plain, groups.map((group) => encodeHostDatagram(sender, group, fleetKey)));
      }
    },
  };
}
