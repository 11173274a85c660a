/** One event of a generation's stream. */
export type EngineEvent =
  | { readonly generation: string; readonly index: number; readonly token: string }
  | { readonly generation: string; readonly index: number; readonly finish: string };
