/** A value of one path as read from the service or a peer. */
export interface SettingsUpdate {
  readonly path: string;
  /** Revision of the path's last change. */
  readonly revision: number;
  /** INI text; absent for a tombstone and for a value too large to keep. */
  readonly text?: string;
  /** Size of a value that was too large to keep, in bytes. */
  readonly oversizeBytes?: number;
}
