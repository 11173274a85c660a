/** A message from one host to another; it may be lost, late or received twice. */
export interface HostMessage {
  readonly topic: string;
  /** Validated by its receiver. */
  readonly payload: unknown;
}
