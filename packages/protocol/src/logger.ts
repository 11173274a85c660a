import type { EventName } from "./event_name.ts";

/** Sink of numbered log events. */
export interface Logger {
  /** Records one event with its fields; fields must not contain secrets. */
  writeEvent(
    event: EventName,
    fields?: Readonly<Record<string, string | number | boolean>>,
  ): void;
}
