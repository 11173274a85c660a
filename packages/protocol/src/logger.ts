import type { EventName } from "./event_name.ts";

/** Sink of numbered log events. */
export interface Logger {
  /** Records one event with its fields; secrets never belong in a field. */
  writeEvent(
    event: EventName,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ): void;
}
