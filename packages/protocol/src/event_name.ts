import type { EVENT_CATALOGUE } from "./event_catalogue.ts";

/** Name of a row in the event catalogue. */
export type EventName = keyof typeof EVENT_CATALOGUE;
