import type { EngineEvent } from "../adapters/engine_event_schema.ts";

/**
 * What the relay does with one event: `deliver` its token, `finish` the response, `skip` a repeated
 * token, or `reconnect` because the stream of the connection is invalid.
 */
export type RelayDecision = "deliver" | "finish" | "skip" | "reconnect";

/**
 * Decides what to do with one event. Repeated tokens are skipped. A gap, an event of another
 * generation and a finish event whose index differs from the number of delivered tokens make the
 * relay reconnect.
 *
 * @param nextIndex index of the next token to deliver, equal to the number delivered so far
 */
export function decideRelay(
  generation: string,
  nextIndex: number,
  event: EngineEvent,
): RelayDecision {
  if (event.generation !== generation) {
    return "reconnect";
  }
  if (event.finish !== undefined) {
    return event.index === nextIndex ? "finish" : "reconnect";
  }
  if (event.index === nextIndex) {
    return "deliver";
  }
  return event.index < nextIndex ? "skip" : "reconnect";
}
