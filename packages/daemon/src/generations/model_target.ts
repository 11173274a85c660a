/** Model and adapter that a request runs on. */
export interface ModelTarget {
  readonly model: string;
  readonly adapter?: string;
}
