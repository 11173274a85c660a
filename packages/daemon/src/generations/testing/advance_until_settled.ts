import type { ManualClock } from "../../common/create_manual_clock.ts";

const STEP_MS = 100;
const MAX_STEPS = 5_000;

/** Advances a manual clock in steps until `promise` has settled; runs pending tasks in between. */
export async function advanceUntilSettled<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  promise.finally(() => {
    isSettled = true;
  });
  for (let step = 0; step < MAX_STEPS; step++) {
    await new Promise((resolve) => setImmediate(resolve));
    if (isSettled) {
      return promise;
    }
    clock.advance(STEP_MS);
  }
  throw new Error("promise did not settle");
}
