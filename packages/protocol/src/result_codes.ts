import { ADMISSION_RESULT_CODES } from "./result_codes/admission_result_codes.ts";
import { FORWARDING_RESULT_CODES } from "./result_codes/forwarding_result_codes.ts";
import { GENERAL_RESULT_CODES } from "./result_codes/general_result_codes.ts";
import { GENERATION_RESULT_CODES } from "./result_codes/generation_result_codes.ts";
import { MEMBERSHIP_RESULT_CODES } from "./result_codes/membership_result_codes.ts";
import { ORDER_RESULT_CODES } from "./result_codes/order_result_codes.ts";
import { PLACEMENT_RESULT_CODES } from "./result_codes/placement_result_codes.ts";
import { SETTINGS_RESULT_CODES } from "./result_codes/settings_result_codes.ts";

/** All result codes by name. Each module has its own number range in `result_codes/`. */
export const RESULT_CODES = {
  ...GENERAL_RESULT_CODES,
  ...GENERATION_RESULT_CODES,
  ...ORDER_RESULT_CODES,
  ...ADMISSION_RESULT_CODES,
  ...SETTINGS_RESULT_CODES,
  ...MEMBERSHIP_RESULT_CODES,
  ...PLACEMENT_RESULT_CODES,
  ...FORWARDING_RESULT_CODES,
};
