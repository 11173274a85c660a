/** Generations: relays each token from engines to callers exactly once and in order. @module */
export { createGenerations } from "./create_generations.ts";
export type { GenerationsOptions } from "./create_generations.ts";
export type { Generations } from "./generations.ts";
