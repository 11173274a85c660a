/** One key of the fake settings service. */
export interface StoredValue {
  readonly path: string;
  readonly value: string;
  /** Revision of the last change of this key. */
  readonly revision: number;
  readonly isDeleted: boolean;
}
