/** Value of one path, as received from the service or a peer. */
export interface SettingsUpdate {
  readonly path: string;
  /** Revision of the path's last change. */
  readonly revision: number;
  /** INI text; absent for a tombstone and for a value that is too large to store. */
  readonly text?: string;
  /** Size of a value that was too large to store, in bytes. */
  readonly oversizeBytes?: number;
}
