/** Worker data of the token source worker. */
export interface SourceSettings {
  readonly apiKey: string;
}
