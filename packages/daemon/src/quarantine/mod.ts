/** Quarantine of requests that crash the upstreams that run them. @module */
export { createQuarantine } from "./create_quarantine.ts";
export type { Quarantine } from "./create_quarantine.ts";
export { createPromptPartQuarantine } from "./create_prompt_part_quarantine.ts";
export type { PromptPartQuarantine } from "./create_prompt_part_quarantine.ts";
export { QUARANTINE_DEFAULTS } from "./quarantine_defaults.ts";
