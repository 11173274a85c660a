/** Published value that the source worker adds to its settings service. */
export interface HostValue {
  readonly path: string;
  readonly value: string;
}
