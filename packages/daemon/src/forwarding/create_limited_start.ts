import type { UpstreamCandidate } from "../balancing/mod.ts";
import type { PendingPermit } from "../upstream_limits/mod.ts";
import { isSameIncarnation } from "../upstreams/mod.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import type { GenerationChoice } from "./choose_generation_upstream.ts";
import { claimLimitedUpstream } from "./claim_limited_upstream.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { GenerationRun } from "./generation_run.ts";
import { isHeldBack } from "./is_held_back.ts";
import { listLimitedUpstreams } from "./list_limited_upstreams.ts";

/** Options of {@link createLimitedStart}. */
export interface LimitedStartOptions {
  readonly context: ForwardingContext;
  readonly run: GenerationRun;
  readonly describeChoice: () => Omit<GenerationChoice, "among">;
  readonly startAttempt: (candidate: UpstreamCandidate) => void;
}

/** Starts a waiting generation on an upstream that names a limit. */
export interface LimitedStart {
  /**
   * Starts the run if an upstream with room grants a permit within `waitMs`. Resolves to the delay
   * in milliseconds for the caller if none does, and to undefined if the run has started or ended,
   * no upstream has room, the request is held back, or an earlier call is still waiting.
   */
  start(waitMs: number): Promise<number | undefined>;
  /** Gives up the place in the queue of a limit's owner. */
  cancel(): void;
}

/** Creates the limited start of one generation. */
export function createLimitedStart(options: LimitedStartOptions): LimitedStart {
  const { context, run, describeChoice } = options;
  let pendingPermit: PendingPermit | undefined;
  let isClaiming = false;
  return {
    start: async (waitMs) => {
      const candidates = isClaiming ? [] : listLimitedUpstreams(context, describeChoice());
      if (candidates.length === 0) {
        return undefined;
      }
      isClaiming = true;
      const result = await claimLimitedUpstream(context, {
        candidates,
        priority: run.sentEvents > 0 ? FORWARDING_LIMITS.resumePriority : run.request.priority,
        waitMs,
        patientMs: waitMs,
        receivePending: (pending) => {
          pendingPermit = pending;
        },
        hasEnded: () => run.phase !== "waiting",
      });
      isClaiming = false;
      if (run.phase !== "waiting") {
        return undefined;
      }
      if (result.type === "refused") {
        return result.retryAfterMs;
      }
      // Only the upstream of the permit is left to choose, if it still has room.
      const others = candidates.filter((upstream) => upstream !== result.upstream);
      const choice = describeChoice();
      const chosen = chooseGenerationUpstream(context, {
        ...choice,
        among: "limited",
        excluded: new Set([...choice.excluded, ...others.map(({ record }) => record.id)]),
      });
      const isPlaceable = chosen !== undefined &&
        isSameIncarnation(chosen.upstream.record, result.upstream.record);
      if (isPlaceable && !isHeldBack(context, run.request)) {
        options.startAttempt(chosen);
      }
      return undefined;
    },
    cancel: () => pendingPermit?.cancel(),
  };
}
