/** Quarantine of requests that crash the upstreams that run them. @module */
export { createQuarantine } from "./create_quarantine.ts";
export type { Quarantine } from "./create_quarantine.ts";
export { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";
