/** One log line of a host. */
export interface LogLine {
  readonly time: string;
  readonly host: string;
  readonly event: number;
  readonly name: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
