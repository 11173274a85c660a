/** What a host knows of the evacuation of one data centre. */
export interface EvacuationEntry {
  /** Era of the store in which it was last written, removed, or found missing. */
  readonly era: number;
  /** Revision at which this happened; comparable only within an era. */
  readonly revision: number;
  readonly isEvacuated: boolean;
  /**
   * For an evacuation that was withdrawn in an earlier era: what the store held after it was
   * restored in `era`, the revision of an entry from before the withdrawal or undefined for none.
   * Only another entry counts as written again.
   */
  readonly copy?: { readonly era: number; readonly revision: number | undefined };
}

/** Known evacuations, current and withdrawn, by data centre. */
export type EvacuationState = ReadonlyMap<string, EvacuationEntry>;
