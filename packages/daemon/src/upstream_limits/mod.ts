/** Limits that upstreams name for the requests of all hosts together. @module */
export { createLimitTable } from "./create_limit_table.ts";
export type { LimitTable } from "./create_limit_table.ts";
