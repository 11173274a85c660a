import type { RESULT_CODES } from "./result_codes.ts";

/** Name of a row in the result code table. */
export type ResultCodeName = keyof typeof RESULT_CODES;
