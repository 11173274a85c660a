import type { HostMessage } from "./host_message.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { ReportIdentity } from "./read_report_identity.ts";

/** A report and the time since its host sent it, in milliseconds. */
export interface AgedReport {
  readonly report: HostReport;
  readonly ageMs: number;
  /**
   * A relay of protocol version 0 has dropped the fields from `protocolVersion` on; missing otherwise.
   */
  readonly isPartial?: boolean;
  /** The report as it was received; forwarded unchanged, with the fields of later builds. */
  readonly bytes?: Uint8Array;
}

/** What one host sends to another: reports, its own and those that it forwards, or messages. */
export interface HostDatagram {
  /** Peer address of the sender, `ip:port`. */
  readonly senderAddress: string;
  readonly senderDataCentre: string;
  readonly reports: readonly AgedReport[];
  /** Reports that were known before and not decoded. */
  readonly known?: readonly ReportIdentity[];
  readonly messages: readonly HostMessage[];
}
