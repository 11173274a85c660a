/** A change of one key of the fake settings service. */
export interface StoredValue {
  readonly path: string;
  readonly value: string;
  /** Revision of this change. */
  readonly revision: number;
  readonly isDeleted: boolean;
}
