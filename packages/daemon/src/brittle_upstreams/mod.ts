/** Upstreams that fall over when they have to refuse too many requests. @module */
export { createBrittleUpstreams } from "./create_brittle_upstreams.ts";
export type { BrittleUpstreams } from "./create_brittle_upstreams.ts";
