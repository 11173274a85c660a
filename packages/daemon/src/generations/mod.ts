/** Generations: exact streams from engines to callers. @module */
export { createGenerations } from "./create_generations.ts";
export type { GenerationsOptions } from "./create_generations.ts";
export type { Generations } from "./generations.ts";
