/** Options of {@link createVersionNotices}. */
export interface VersionNoticesOptions {
  /** Returns the version that is in force on this host; undefined before the first one. */
  readonly readVersion: () => number | undefined;
  /** Lists the versions that are in force on the other live hosts. */
  readonly listVersionsElsewhere: () => readonly number[];
  /** Reads the settings now, because the given host has a later version in force. */
  readonly refreshSettings: (version: number, host: string) => void;
}

/** Versions of the settings that other hosts have in force. */
export interface VersionNotices {
  acceptVersion(version: number, host: string): void;
  /** Whether no settings are in force on this host, or later ones on a live host. */
  isBehind(): boolean;
}

/**
 * Creates the reaction to other hosts' versions: a later one than this host has or was told of
 * causes one read. It answers the load of a fleet in which each of many reports repeats the same
 * version to a host that cannot read it; the feed repeats a failed read itself.
 */
export function createVersionNotices(options: VersionNoticesOptions): VersionNotices {
  let requestedVersion = Number.NEGATIVE_INFINITY;
  return {
    acceptVersion: (version, host) => {
      const known = options.readVersion();
      if (known === undefined || version <= Math.max(known, requestedVersion)) {
        return;
      }
      requestedVersion = version;
      options.refreshSettings(version, host);
    },
    isBehind: () => {
      const known = options.readVersion();
      return known === undefined ||
        options.listVersionsElsewhere().some((version) => version > known);
    },
  };
}
