/** Operators' listener to query, and its token. */
export interface OperatorTarget {
  /** Base URL of an operators' listener. */
  readonly url: string;
  readonly token: string;
}
