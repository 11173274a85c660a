/** Value that the token source worker publishes in its settings service. */
export interface HostValue {
  readonly path: string;
  readonly value: string;
}
