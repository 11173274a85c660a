/** One log line of a host. */
export interface TraceLine {
  readonly time: string;
  readonly host: string;
  readonly event: number;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
