import type { ModelState } from "./model_state.ts";

/** Returns the guarantee that a model state violates, if any. */
export function findViolation(model: ModelState): string | undefined {
  if (model.dispatches > 1) {
    return `order dispatched ${model.dispatches} times`;
  }
  if (model.isNotRunReported && model.dispatches > 0) {
    return "caller received `ran: no` for a dispatched order";
  }
  if (model.isCompletionReported && model.dispatches === 0) {
    return "caller received `ran: yes` for an order that was not dispatched";
  }
  return undefined;
}
