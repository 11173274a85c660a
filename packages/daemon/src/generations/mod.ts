/** Generations: exact streams from engines to callers. @module */
export { createGenerations } from "./create_generations.ts";
export type { Generations, GenerationsOptions } from "./create_generations.ts";
