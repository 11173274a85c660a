import type { EngineEvent } from "../../adapters/engine_event_schema.ts";

/** Makes the events of a generation from index `from` on: tokens `t<index>` and a finish event. */
export function makeEvents(generation: string, from: number, tokenCount: number): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (let index = from; index < tokenCount; index++) {
    events.push({ generation, index, token: `t${index}` });
  }
  return [...events, { generation, index: tokenCount, finish: "stop" }];
}
