import { ADMISSION_EVENTS } from "./events/admission_events.ts";
import { FORWARDING_EVENTS } from "./events/forwarding_events.ts";
import { GENERAL_EVENTS } from "./events/general_events.ts";
import { GENERATION_EVENTS } from "./events/generation_events.ts";
import { MEMBERSHIP_EVENTS } from "./events/membership_events.ts";
import { ORDER_EVENTS } from "./events/order_events.ts";
import { PLACEMENT_EVENTS } from "./events/placement_events.ts";
import { SETTINGS_EVENTS } from "./events/settings_events.ts";

/** All log events by name. Each module has its own number range in `events/`. */
export const EVENT_CATALOGUE = {
  ...GENERAL_EVENTS,
  ...GENERATION_EVENTS,
  ...ORDER_EVENTS,
  ...ADMISSION_EVENTS,
  ...SETTINGS_EVENTS,
  ...MEMBERSHIP_EVENTS,
  ...PLACEMENT_EVENTS,
  ...FORWARDING_EVENTS,
};
