import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";

/** Options of {@link waitFreshView}. */
export interface FreshViewOptions {
  readonly context: Pick<DaemonContext, "clock">;
  readonly membership: Pick<Membership, "isViewFresh">;
}

const CHECK_MS = 50;

/** Waits until a started or paused daemon trusts its view again; false when it takes too long. */
export async function waitFreshView(
  options: FreshViewOptions,
  deadlineMs: number,
): Promise<boolean> {
  const { clock } = options.context;
  const endMs = Math.min(deadlineMs, clock.readMonotonicMs() + ORDER_LIMITS.viewWaitMs);
  while (!options.membership.isViewFresh()) {
    if (clock.readMonotonicMs() + CHECK_MS >= endMs) {
      return false;
    }
    await new Promise<void>((resolve) => {
      clock.startTimer(CHECK_MS, resolve);
    });
  }
  return true;
}
