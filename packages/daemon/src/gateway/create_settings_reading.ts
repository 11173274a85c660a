import type { Clock } from "@crocussail/protocol";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Options of {@link createSettingsReading}. */
export interface SettingsReadingOptions {
  readonly clock: Clock;
  /** Whether the other hosts rely on this one to notice later settings. */
  readonly isLeadingReader: () => boolean;
  /** Whether this host has heard recently from a host that it relies on for the same. */
  readonly isConfirmed: () => boolean;
  /** Whether this host knows that settings exist which are not in force on it. */
  readonly isBehind: () => boolean;
}

/** How current the settings of this host are, and how it reads them. */
export interface SettingsReading {
  /** Records that all changes up to the given monotonic time are in force. */
  recordRead(readAtMs: number): void;
  /** Computes the milliseconds in which later versions may have been published unnoticed. */
  computeAge(): number;
  /** Whether the settings were read recently enough for other hosts to rely on it. */
  isRecent(): boolean;
  /** Computes the milliseconds after which a watch without changes ends and is started again. */
  computePollTimeout(): number;
}

/**
 * Creates the decision. The connection of a waiting watch may fall silent without an error, so a
 * wait is long only on a host that others would tell of a later version.
 */
export function createSettingsReading(options: SettingsReadingOptions): SettingsReading {
  const { clock } = options;
  let readAtMs = clock.readMonotonicMs();
  const computeAge = () => clock.readMonotonicMs() - readAtMs;
  return {
    recordRead: (atMs) => {
      readAtMs = Math.max(readAtMs, atMs);
    },
    computeAge,
    isRecent: () => computeAge() <= GATEWAY_LIMITS.maxSettingsAgeMs,
    computePollTimeout: () =>
      options.isLeadingReader() || !options.isConfirmed() || options.isBehind()
        ? GATEWAY_LIMITS.settingsPollTimeoutMs
        : GATEWAY_LIMITS.confirmedPollTimeoutMs,
  };
}
