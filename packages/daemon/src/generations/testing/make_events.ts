import type { EngineEvent } from "../../adapters/engine_event_schema.ts";

/** Makes the events of a generation from `from` on: its tokens `t<index>` and the finish. */
export function makeEvents(generation: string, from: number, length: number): EngineEvent[] {
  const events: EngineEvent[] = [];
  for (let index = from; index < length; index++) {
    events.push({ generation, index, token: `t${index}` });
  }
  return [...events, { generation, index: length, finish: "stop" }];
}
