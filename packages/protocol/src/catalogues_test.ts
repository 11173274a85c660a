import { expect } from "chai";
import { EVENT_CATALOGUE } from "./event_catalogue.ts";
import { ADMISSION_EVENTS } from "./events/admission_events.ts";
import { FORWARDING_EVENTS } from "./events/forwarding_events.ts";
import { GENERAL_EVENTS } from "./events/general_events.ts";
import { GENERATION_EVENTS } from "./events/generation_events.ts";
import { MEMBERSHIP_EVENTS } from "./events/membership_events.ts";
import { ORDER_EVENTS } from "./events/order_events.ts";
import { PLACEMENT_EVENTS } from "./events/placement_events.ts";
import { SETTINGS_EVENTS } from "./events/settings_events.ts";
import { RESULT_CODES } from "./result_codes.ts";
import { ADMISSION_RESULT_CODES } from "./result_codes/admission_result_codes.ts";
import { FORWARDING_RESULT_CODES } from "./result_codes/forwarding_result_codes.ts";
import { GENERAL_RESULT_CODES } from "./result_codes/general_result_codes.ts";
import { GENERATION_RESULT_CODES } from "./result_codes/generation_result_codes.ts";
import { MEMBERSHIP_RESULT_CODES } from "./result_codes/membership_result_codes.ts";
import { ORDER_RESULT_CODES } from "./result_codes/order_result_codes.ts";
import { PLACEMENT_RESULT_CODES } from "./result_codes/placement_result_codes.ts";
import { SETTINGS_RESULT_CODES } from "./result_codes/settings_result_codes.ts";

type Entries = Readonly<Record<string, { readonly number: number }>>;

const EVENTS: readonly Entries[] = [
  ADMISSION_EVENTS,
  FORWARDING_EVENTS,
  GENERAL_EVENTS,
  GENERATION_EVENTS,
  MEMBERSHIP_EVENTS,
  ORDER_EVENTS,
  PLACEMENT_EVENTS,
  SETTINGS_EVENTS,
];
const CODES: readonly Entries[] = [
  ADMISSION_RESULT_CODES,
  FORWARDING_RESULT_CODES,
  GENERAL_RESULT_CODES,
  GENERATION_RESULT_CODES,
  MEMBERSHIP_RESULT_CODES,
  ORDER_RESULT_CODES,
  PLACEMENT_RESULT_CODES,
  SETTINGS_RESULT_CODES,
];

describe("catalogues", () => {
  const cases: readonly [string, Entries, readonly Entries[]][] = [
    ["events", EVENT_CATALOGUE, EVENTS],
    ["result codes", RESULT_CODES, CODES],
  ];
  for (const [title, catalogue, parts] of cases) {
    it(`contain the ${title} of every module, with no name or number used twice`, () => {
      const entries = parts.flatMap((part) => Object.values(part));
      expect(Object.values(catalogue)).to.have.members(entries);
      expect(new Set(entries.map(({ number }) => number)).size).to.equal(entries.length);
    });
  }
});
