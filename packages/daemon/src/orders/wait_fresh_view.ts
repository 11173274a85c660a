import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";

/** Options of {@link waitFreshView}. */
export interface FreshViewOptions {
  readonly context: Pick<DaemonContext, "clock">;
  readonly membership: Pick<Membership, "isViewFresh">;
}

const CHECK_INTERVAL_MS = 50;

/** Waits for a fresh membership view after a start or pause; false when the wait times out. */
export async function waitFreshView(
  options: FreshViewOptions,
  deadlineMs: number,
): Promise<boolean> {
  const { clock } = options.context;
  const endAtMs = Math.min(deadlineMs, clock.readMonotonicMs() + ORDER_LIMITS.viewWaitMs);
  while (!options.membership.isViewFresh()) {
    if (clock.readMonotonicMs() + CHECK_INTERVAL_MS >= endAtMs) {
      return false;
    }
    await new Promise<void>((resolve) => {
      clock.startTimer(CHECK_INTERVAL_MS, resolve);
    });
  }
  return true;
}
