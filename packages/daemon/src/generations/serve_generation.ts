import type { ExecutionState } from "@crocussail/protocol";
import { consumeRetry } from "./consume_retry.ts";
import { decidePlacement } from "./decide_placement.ts";
import { describeFailure } from "./describe_failure.ts";
import type { FailedPlacement } from "./failed_placement.ts";
import type { GenerationServices } from "./generation_services.ts";
import { mergeExecutionStates } from "./merge_execution_states.ts";
import { refillRetryBudget } from "./retry_budget_state.ts";
import { handleFailedPlacement } from "./handle_failed_placement.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { PlacementEffect } from "./decide_placement.ts";
import { requestGrant } from "./request_grant.ts";
import { runPlacement } from "./run_placement.ts";
import type { ServeOptions } from "./serve_options.ts";

/** Places a request, relays the response and places the request again while that is allowed. */
export async function serveGeneration(
  services: GenerationServices,
  options: ServeOptions,
): Promise<void> {
  const { context, limits, settings, retryBudget } = services;
  const { writer, requestId } = options;
  const excluded = new Set<string>();
  let ran: ExecutionState = "no";
  refillRetryBudget(retryBudget, settings.getFleetLimits().retryBudgetRatio, limits.retryBurst);
  for (let placements = 1;; placements++) {
    const granted = await requestGrant(services, options, excluded);
    if ("code" in granted) {
      writer.writeError({ ...granted, ran: mergeExecutionStates(ran, granted.ran) });
      return;
    }
    const failed = await runPlacement(services, options, granted);
    if (failed === undefined) {
      return;
    }
    ran = mergeExecutionStates(ran, failed.ran);
    excluded.add(failed.upstream);
    await handleFailedPlacement(services, options.fingerprint, failed);
    const effect = decidePlacement({
      placements,
      deliveredTokens: failed.deliveredTokens,
      isCallerDisconnected: writer.isDisconnected(),
      isQuarantined: services.quarantine.isQuarantined(options.fingerprint),
      nowMs: context.clock.readMonotonicMs(),
      deadlineMs: options.deadlineMs,
    }, { maxPlacements: limits.maxPlacements, consumeRetry: () => consumeRetry(retryBudget) });
    recordEffect(context, { requestId, failed, effect });
    if (effect.type === "fail") {
      writer.writeError(describeFailure(effect.reason, failed, ran));
      return;
    }
  }
}

interface PlacementRecord {
  readonly requestId: string;
  readonly failed: FailedPlacement;
  readonly effect: PlacementEffect;
}

/** Records the decision after a failed placement in the journal, the log and the metrics. */
function recordEffect(context: DaemonContext, record: PlacementRecord): void {
  const { requestId, failed, effect } = record;
  const { upstream, generation, ran } = failed;
  const fields = { upstream, generation, ran, cause: failed.error.code };
  context.journal.recordDecision(requestId, "generations", effect.type, { ...fields, ...effect });
  if (effect.type === "place") {
    context.logger.writeEvent("generationPlacedAgain", { request: requestId, ...fields });
    context.metrics.increment("generations.placed_again");
    return;
  }
  const { reason } = effect;
  context.logger.writeEvent("generationLost", { request: requestId, ...fields, reason });
  context.metrics.increment("generations.lost", 1, { reason });
}
