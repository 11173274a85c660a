import {
  BALANCING_LIMITS,
  chooseEngine,
  estimateConcurrentChoices,
} from "@crocussail/daemon/balancing";
import type { EngineChoice } from "./engine_load_options.ts";

const LIMITS = {
  slots: 24,
  memoryTokens: 34_000,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};

/**
 * The daemon's engine choice, and that of a plain forwarder: the engine with the fewest in-flight
 * requests.
 */
export const ENGINE_CHOICES: Readonly<Record<"daemon" | "leastFlights", EngineChoice>> = {
  daemon: (candidates, need) =>
    chooseEngine(candidates, {
      ...need,
      concurrentChoices: estimateConcurrentChoices({
        hosts: need.hosts,
        candidates,
        promptTokens: need.prefillTokens,
        countDraining: () => 0,
      }),
      limits: LIMITS,
      memoryShare: need.isMigration ? 1 : BALANCING_LIMITS.plannedMemoryShare,
    }),
  leastFlights: (candidates) =>
    candidates.toSorted((left, right) => left.load.inFlight - right.load.inFlight)[0],
};
