import type { KindSpec } from "./scenario.ts";

/** One request of the traffic. */
export interface TrafficRequest {
  readonly id: string;
  readonly atMs: number;
  readonly group: number;
  readonly kind: KindSpec;
  readonly team: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Upper limit that the caller declares. */
  readonly declaredTokens?: number;
  readonly prefix: { readonly key: string; readonly tokens: number };
}
