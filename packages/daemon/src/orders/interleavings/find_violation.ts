import type { ModelWorld } from "./model_world.ts";

/** Returns the promise that a world breaks, if any. */
export function findViolation(world: ModelWorld): string | undefined {
  if (world.dispatches > 1) {
    return `order dispatched ${world.dispatches} times`;
  }
  if (world.isToldNotRun && world.dispatches > 0) {
    return "caller was told `ran: no` about a dispatched order";
  }
  if (world.isToldRun && world.dispatches === 0) {
    return "caller was told `ran: yes` about an order that was not dispatched";
  }
  return undefined;
}
