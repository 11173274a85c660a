import type { CALLER_LIMITS } from "./constants.ts";

/** Limits of the callers' listener, by name. */
export type CallerLimits = { readonly [Name in keyof typeof CALLER_LIMITS]: number };
