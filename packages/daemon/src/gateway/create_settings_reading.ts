import type { Clock } from "@crocussail/protocol";

/** Options of {@link createSettingsReading}. */
export interface SettingsReadingOptions {
  readonly clock: Clock;
}

/** How current the settings of this host are. */
export interface SettingsReading {
  /** Records that all changes up to the given monotonic time are in force. */
  recordRead(readAtMs: number): void;
  /** Computes the milliseconds in which later versions may have been published unnoticed. */
  computeAge(): number;
}

/** Creates the record of a host that has read no settings yet. */
export function createSettingsReading({ clock }: SettingsReadingOptions): SettingsReading {
  let readAtMs = clock.readMonotonicMs();
  return {
    recordRead: (atMs) => {
      readAtMs = Math.max(readAtMs, atMs);
    },
    computeAge: () => clock.readMonotonicMs() - readAtMs,
  };
}
