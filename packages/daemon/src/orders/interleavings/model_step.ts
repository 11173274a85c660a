import type { ModelWorld } from "./model_world.ts";

/** One possible step of a schedule; computes the world after it. */
export type ModelStep = () => ModelWorld;
