import type { EngineEvent } from "../adapters/engine_event_schema.ts";

/** Position of a relayed stream. */
export interface RelayState {
  readonly generation: string;
  /** Index of the next token to deliver. */
  readonly nextIndex: number;
}

/** What the relay does with one event of the engine. */
export type RelayEffect =
  | { readonly type: "deliver"; readonly index: number; readonly token: string }
  | { readonly type: "finish"; readonly reason: string }
  | { readonly type: "skip" }
  | { readonly type: "reconnect" };

/**
 * Decides what to do with one event: repeats are skipped, a gap or a foreign generation is a fault
 * of the link.
 */
export function decideRelay(state: RelayState, event: EngineEvent): RelayEffect {
  if (event.generation !== state.generation || event.index > state.nextIndex) {
    return { type: "reconnect" };
  }
  if (event.index < state.nextIndex) {
    return { type: "skip" };
  }
  if (event.finish !== undefined) {
    return { type: "finish", reason: event.finish };
  }
  return { type: "deliver", index: event.index, token: event.token ?? "" };
}
