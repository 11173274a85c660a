import type { ModelState } from "./model_state.ts";

/** One possible step of a schedule; computes the model state after it. */
export type ModelStep = () => ModelState;
