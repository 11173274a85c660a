import type { Clock, Timer } from "@crocussail/protocol";
import { HOST_LIMITS } from "./constants.ts";
import type { AgedReport } from "./host_datagram.ts";
import type { HostReport } from "./host_report_schema.ts";
import type { ReportIdentity } from "./read_report_identity.ts";

/** Options of {@link createReportConfirmation}. */
export interface ReportConfirmationOptions {
  readonly clock: Clock;
  /**
   * Sends reports that the given relay has not forwarded to the relays that stand by. The first of
   * them has not been forwarded in time; all are sent, because each has its own age.
   */
  readonly sendToStandby: (reports: readonly AgedReport[], relayAddress: string) => void;
}

/** Whether the first relay of this host's data centre forwards this host's reports. */
export interface ReportConfirmation {
  /** Records that a report of this host has been sent to the first relay alone. */
  recordSent(report: HostReport, relayAddress: string): void;
  /** Records that a host of this data centre has sent a report of this host on. */
  recordForwarded(identity: ReportIdentity, senderAddress: string): void;
  /** Whether the relay has not forwarded a report in time, and none since. */
  isSilent(relayAddress: string): boolean;
  stop(): void;
}

interface SentReport {
  readonly report: HostReport;
  readonly relayAddress: string;
  readonly sentAtMs: number;
}

/**
 * Creates the check. A relay sends each report to all hosts of its data centre, the report's own
 * host included, so a host sees without a further message that its report has been forwarded.
 */
export function createReportConfirmation(options: ReportConfirmationOptions): ReportConfirmation {
  const { clock } = options;
  let unconfirmed: SentReport[] = [];
  let silentAddress: string | undefined;
  let timer: Timer | undefined;

  const schedule = (delayMs: number) => {
    timer ??= clock.startTimer(delayMs, check);
  };
  const check = () => {
    timer = undefined;
    const [oldest] = unconfirmed;
    if (oldest === undefined) {
      return;
    }
    const nowMs = clock.readMonotonicMs();
    const leftMs = oldest.sentAtMs + HOST_LIMITS.confirmMs - nowMs;
    if (leftMs > 0) {
      schedule(leftMs);
      return;
    }
    const reports = unconfirmed.map(({ report, sentAtMs }) => ({
      report,
      ageMs: nowMs - sentAtMs,
    }));
    silentAddress = oldest.relayAddress;
    unconfirmed = [];
    options.sendToStandby(reports, oldest.relayAddress);
  };

  return {
    recordSent: (report, relayAddress) => {
      unconfirmed.push({ report, relayAddress, sentAtMs: clock.readMonotonicMs() });
      schedule(HOST_LIMITS.confirmMs);
    },
    recordForwarded: ({ sequence }, senderAddress) => {
      unconfirmed = unconfirmed.filter(({ report }) => report.sequence > sequence);
      if (senderAddress === silentAddress) {
        silentAddress = undefined;
      }
    },
    isSilent: (relayAddress) => relayAddress === silentAddress,
    stop: () => {
      timer?.cancel();
      timer = undefined;
      unconfirmed = [];
    },
  };
}
