/** Model and adapter that execute a request. */
export interface ModelTarget {
  readonly model: string;
  readonly adapter?: string;
}
