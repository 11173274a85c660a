/** Where and with which token the operators' listeners are asked. */
export interface OperatorTarget {
  /** Base URL of an operators' listener. */
  readonly url: string;
  readonly token: string;
}
