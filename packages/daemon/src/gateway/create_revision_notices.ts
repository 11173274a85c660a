/** Options of {@link createRevisionNotices}. */
export interface RevisionNoticesOptions {
  /** Returns the revision that is in force on this host; undefined before the first one. */
  readonly readRevision: () => number | undefined;
  /** Reads the settings now. */
  readonly refreshSettings: () => void;
}

/** Revisions of the settings that other hosts have in force. */
export interface RevisionNotices {
  acceptRevision(revision: number): void;
}

/**
 * Creates the reaction to other hosts' revisions: a later one than this host has or was told of
 * causes one read. It answers the load of a fleet in which each of many reports repeats the same
 * revision to a host that cannot read it; the feed repeats a failed read itself.
 */
export function createRevisionNotices(options: RevisionNoticesOptions): RevisionNotices {
  let requestedRevision = Number.NEGATIVE_INFINITY;
  return {
    acceptRevision: (revision) => {
      const known = options.readRevision();
      if (known === undefined || revision <= Math.max(known, requestedRevision)) {
        return;
      }
      requestedRevision = revision;
      options.refreshSettings();
    },
  };
}
