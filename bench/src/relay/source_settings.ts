/** What the source worker is given. */
export interface SourceSettings {
  readonly apiKey: string;
}
