import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import { decideEvacuations } from "./decide_evacuations.ts";
import type { EvacuationEvent } from "./evacuation_event.ts";
import type { EvacuationState } from "./evacuation_state.ts";
import { listReportedEvacuations } from "./list_reported_evacuations.ts";

/** Options of {@link createEvacuations}. */
export interface EvacuationsOptions {
  readonly clock: Pick<Clock, "readMonotonicMs">;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, "gauge">;
  /** Receives the evacuated data centres, with the monotonic time at which this host learnt of it. */
  readonly evacuated: Map<string, number>;
  /** Called once after a change, so that other hosts learn of it at once. */
  readonly scheduleUrgentReport: () => void;
  /** Called when the evacuation of a data centre has been withdrawn. */
  readonly handleReturned: (dataCentre: string) => void;
}

/** The evacuations that this host knows. */
export interface Evacuations {
  /** Applies what the store or the host `by` says. */
  apply(event: EvacuationEvent, by: string): void;
  listReported(): [string, number, number, boolean][];
}

/** Creates the evacuations of a process that has just started: none. */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { clock, logger, metrics, evacuated } = options;
  let state: EvacuationState = new Map();
  return {
    apply: (event, by) => {
      const decision = decideEvacuations(state, event);
      state = decision.state;
      for (const { dataCentre, isEvacuated } of decision.changed) {
        const { era = 0, revision = 0 } = state.get(dataCentre) ?? {};
        const sinceMs = evacuated.get(dataCentre) ?? clock.readMonotonicMs();
        if (isEvacuated) {
          evacuated.set(dataCentre, sinceMs);
          logger.writeEvent("dataCentreEvacuated", { dataCentre, by, era, revision });
        } else {
          evacuated.delete(dataCentre);
          const tookMs = Math.round(clock.readMonotonicMs() - sinceMs);
          logger.writeEvent("evacuationWithdrawn", { dataCentre, by, era, revision, tookMs });
          options.handleReturned(dataCentre);
        }
      }
      if (decision.changed.length > 0) {
        metrics.gauge("upstreams.evacuatedDataCentres", evacuated.size);
        options.scheduleUrgentReport();
      }
    },
    listReported: () => listReportedEvacuations(state),
  };
}
