import type { EngineEvent } from "../adapters/engine_event_schema.ts";

/**
 * What the relay does with one event: `deliver` its token, `finish` the answer, `skip` a repeat, or
 * `reconnect` because the link is faulty.
 */
export type RelayVerdict = "deliver" | "finish" | "skip" | "reconnect";

/**
 * Decides what to do with one event. Repeated tokens are skipped. A gap, an event of a foreign
 * generation and a finish whose index differs from the tokens delivered are faults of the link.
 *
 * @param nextIndex index of the next token to deliver, which is the number delivered so far
 */
export function decideRelay(
  generation: string,
  nextIndex: number,
  event: EngineEvent,
): RelayVerdict {
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
