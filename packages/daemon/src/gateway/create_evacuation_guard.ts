import type { Clock, Logger } from "@crocussail/protocol";
import type {
  OpenUpstreamExchange,
  UpstreamExchangeRequest,
} from "../adapters/upstream_exchange.ts";
import { isPastLastCall } from "../evacuation/mod.ts";
import { findUpstreamAt } from "../upstreams/mod.ts";
import type { UpstreamState } from "../upstreams/mod.ts";

/** Options of {@link createEvacuationGuard}. */
export interface EvacuationGuardOptions {
  readonly openExchange: OpenUpstreamExchange;
  readonly state: Pick<UpstreamState, "upstreams" | "evacuated">;
  readonly clock: Pick<Clock, "readMonotonicMs" | "startTimer">;
  readonly logger: Logger;
}

/**
 * Wraps an exchange so that it sends nothing to an upstream of an evacuated data centre: an upstream
 * that was chosen before the evacuation may be used only after it. Calls, which name no upstream id,
 * pass for a while: generations are copied away by them.
 */
export function createEvacuationGuard(options: EvacuationGuardOptions): OpenUpstreamExchange {
  const { clock, logger, state } = options;
  const findBarred = ({ address, upstreamId }: UpstreamExchangeRequest) => {
    const upstream = findUpstreamAt(state, address, upstreamId);
    const learntAtMs = state.evacuated.get(upstream?.record.dataCentre ?? "");
    const isBarred = learntAtMs !== undefined &&
      (upstreamId !== undefined || isPastLastCall(learntAtMs, clock.readMonotonicMs()));
    return isBarred ? upstream : undefined;
  };
  return (request, handler) => {
    const barred = state.evacuated.size === 0 ? undefined : findBarred(request);
    if (barred === undefined) {
      return options.openExchange(request, handler);
    }
    const { id: upstream, dataCentre } = barred.record;
    logger.writeEvent("evacuatedUpstreamSkipped", { upstream, dataCentre });
    const timer = clock.startTimer(
      0,
      () => handler.fail(false, `data centre ${dataCentre} is evacuated`),
    );
    return { abort: () => timer.cancel(), hasSent: () => false };
  };
}
