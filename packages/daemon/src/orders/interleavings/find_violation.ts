import type { ModelState } from "./model_state.ts";

/** Returns the guarantee that a model state violates, if any. */
export function findViolation(model: ModelState): string | undefined {
  if (model.dispatchCount > 1) {
    return `order dispatched ${model.dispatchCount} times`;
  }
  if (model.isNotRunReported && model.dispatchCount > 0) {
    return "caller received `ran: no` for a dispatched order";
  }
  if (model.isCompletionReported && model.dispatchCount === 0) {
    return "caller received `ran: yes` for an order that was not dispatched";
  }
  return undefined;
}
