import type { Clock } from "@crocussail/protocol";
import { HOST_LIMITS } from "../fleet_hosts/mod.ts";
import type { AgedReport } from "../fleet_hosts/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Options of {@link createUpstreamReading}. */
export interface UpstreamReadingOptions {
  readonly clock: Clock;
  /** Time within which every host must know that an upstream drains, in milliseconds. */
  readonly drainMs: number;
  /** Returns this host's place among the hosts that read for the fleet, -1 if it is none. */
  readonly getReaderRank: () => number;
  /** Whether records may be missing that return soon; then every host reads for itself. */
  readonly isOutageRecent: () => boolean;
  /** Whether the settings of this host are recent enough for other hosts to rely on it. */
  readonly areSettingsRecent: () => boolean;
}

/** When this host has to read the upstreams from the settings service. */
export interface UpstreamReading {
  /** Records that this host read all changes up to the given monotonic time. */
  recordRead(readAtMs: number): void;
  /** Takes into account that another host reads for the fleet. */
  acceptReport(received: AgedReport): void;
  /** Computes the milliseconds until this host has to read again; 0 if it has to now. */
  computeReadDelay(): number;
  /** Whether this host knows all changes up to a short time ago, from whomever. */
  isConfirmed(): boolean;
  /** Whether this host reads for the fleet. */
  isReader(): boolean;
  /** Whether this host reads for the fleet and hears from no host that reads more often. */
  isLeadingReader(): boolean;
  /**
   * Age of what this host has read, if it reads for the fleet; null otherwise. Hosts that receive
   * it rely on this one for the settings too.
   */
  computeReportedAge(): number | null;
  /** Whether this host reads for the fleet and has to report before its next regular report. */
  isReportDue(): boolean;
}

/**
 * Creates the decision. Two hosts read often and report the changes, which answers the load of a
 * fleet in which every host reads for itself; any other host reads only when it has heard from no
 * reader for half of the drain time. A report of a reader counts if no change can have been missed
 * since the last one, as it contains the changes of a limited time. The settings have a watch of
 * their own, whose connection may be silent while the upstreams are read: the leading reader reports
 * only while its settings are recent, and the other one while it hears from the leading one.
 */
export function createUpstreamReading(options: UpstreamReadingOptions): UpstreamReading {
  const { clock, drainMs } = options;
  const startedAtMs = clock.readMonotonicMs();
  let readAtMs = Number.NEGATIVE_INFINITY;
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let reportedAtMs = Number.NEGATIVE_INFINITY;

  const computeAge = () =>
    clock.readMonotonicMs() -
    (options.isOutageRecent() ? readAtMs : Math.max(readAtMs, confirmedAtMs));
  // Until a host knows the fleet, it would often consider itself a reader.
  const computeRank = () =>
    clock.readMonotonicMs() - startedAtMs >= GATEWAY_LIMITS.readerSettleMs
      ? options.getReaderRank()
      : -1;

  /** The second reader takes over from the first one when it does not hear from it. */
  const isLeadingReader = () => {
    const rank = computeRank();
    const isAlone = clock.readMonotonicMs() - confirmedAtMs >
      drainMs * GATEWAY_LIMITS.silentReaderShareOfDrain;
    return rank === 0 || (rank > 0 && isAlone);
  };
  const computeReaderShare = () => {
    const [firstShare, secondShare] = GATEWAY_LIMITS.readerIntervalSharesOfDrain;
    return computeRank() < 0 ? undefined : isLeadingReader() ? firstShare : secondShare;
  };

  return {
    recordRead: (atMs) => {
      readAtMs = Math.max(readAtMs, atMs);
    },
    acceptReport: ({ report, ageMs }) => {
      if (report.upstreamsAgeMs === null) {
        return;
      }
      const atMs = clock.readMonotonicMs() - ageMs - report.upstreamsAgeMs;
      const gapMs = atMs - Math.max(readAtMs, confirmedAtMs);
      if (gapMs <= HOST_LIMITS.upstreamReportMs - GATEWAY_LIMITS.missedReportMarginMs) {
        confirmedAtMs = Math.max(confirmedAtMs, atMs);
      }
    },
    computeReadDelay: () => {
      const share = computeReaderShare();
      return share === undefined
        ? Math.max(0, drainMs * GATEWAY_LIMITS.maxAgeShareOfDrain - computeAge())
        : Math.max(0, drainMs * share - (clock.readMonotonicMs() - readAtMs));
    },
    isConfirmed: () => computeAge() <= drainMs * GATEWAY_LIMITS.maxAgeShareOfDrain,
    isReader: () => computeRank() >= 0,
    isLeadingReader,
    computeReportedAge: () => {
      const ageMs = Math.round(clock.readMonotonicMs() - readAtMs);
      const areSettingsKnown = !isLeadingReader() || options.areSettingsRecent();
      if (computeRank() < 0 || ageMs > HOST_LIMITS.upstreamReportMs || !areSettingsKnown) {
        return null;
      }
      reportedAtMs = clock.readMonotonicMs();
      return ageMs;
    },
    isReportDue: () =>
      computeRank() >= 0 && clock.readMonotonicMs() - reportedAtMs >=
        drainMs * GATEWAY_LIMITS.readerReportShareOfDrain,
  };
}
