import type { ResultCodeEntry } from "../result_code_entry.ts";

/** Result codes 7000-7999: placement of models and roles. */
export const PLACEMENT_RESULT_CODES = {
  placementRefused: {
    number: 7000,
    status: 409,
    ran: "no",
    title: "Engine refused a placement order",
    advice: "Check the fencing token shown by the engine",
  },
  placementUnknown: {
    number: 7001,
    status: 502,
    ran: "unknown",
    title: "Engine did not respond to a placement request",
    advice: "Check the engine; its state is observed before the next order",
  },
} as const satisfies Record<string, ResultCodeEntry>;
