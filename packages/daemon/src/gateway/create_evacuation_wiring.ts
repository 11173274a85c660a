import type { Clock, Logger, Metrics } from "@crocussail/protocol";
import type { DeploymentFeedListener } from "../adapters/deployment_feed.ts";
import type { OpenUpstreamExchange } from "../adapters/upstream_exchange.ts";
import { createEvacuations } from "../evacuation/mod.ts";
import type { AgedReport, HostReport } from "../fleet_hosts/mod.ts";
import type { UpstreamState } from "../upstreams/mod.ts";
import { createEvacuationGuard } from "./create_evacuation_guard.ts";

/** Options of {@link createEvacuationWiring}. */
export interface EvacuationWiringOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly state: UpstreamState;
  readonly scheduleUrgentReport: () => void;
  /** Called when the evacuation of a data centre has been withdrawn. */
  readonly handleReturned: (dataCentre: string) => void;
}

/** Connects evacuations with the feed, the reports of hosts and the table of upstreams. */
export interface EvacuationWiring {
  /** Handles what the store publishes. */
  readonly listener: Pick<DeploymentFeedListener, "applyEvacuation" | "applyEvacuationList">;
  acceptReport(received: AgedReport): void;
  listReported(): HostReport["evacuations"];
  hasEvacuations(): boolean;
  /** Wraps an exchange so that nothing is sent to evacuated upstreams. */
  createGuard(openExchange: OpenUpstreamExchange): OpenUpstreamExchange;
}

const STORE = "settings service";

/** Creates the wiring. */
export function createEvacuationWiring(options: EvacuationWiringOptions): EvacuationWiring {
  const { clock, logger, metrics, state } = options;
  const evacuations = createEvacuations({
    clock,
    logger,
    metrics,
    evacuated: state.evacuated,
    scheduleUrgentReport: options.scheduleUrgentReport,
    handleReturned: options.handleReturned,
  });
  return {
    listener: {
      applyEvacuation: ({ isEvacuated, ...change }) =>
        evacuations.apply({ ...change, type: isEvacuated ? "written" : "removed" }, STORE),
      applyEvacuationList: (list) => evacuations.apply({ ...list, type: "listed" }, STORE),
    },
    acceptReport: ({ report }) => {
      if (report.evacuations.length > 0) {
        evacuations.apply({ type: "reported", entries: report.evacuations }, report.host);
      }
    },
    listReported: evacuations.listReported,
    hasEvacuations: () => state.evacuated.size > 0,
    createGuard: (openExchange) => createEvacuationGuard({ openExchange, state, clock, logger }),
  };
}
