import type { Clock, Logger, ResultError } from "@crocussail/protocol";
import type { EngineClient } from "../adapters/engine_client.ts";
import type { GenerationLimits } from "./generation_defaults.ts";

/** Options of {@link createCanceller}. */
export interface CancellerOptions {
  readonly engine: EngineClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: Pick<GenerationLimits, "cancelAttempts" | "cancelRetryMs">;
}

/** Cancels generations on their upstreams. */
export interface Canceller {
  /**
   * Cancels a generation. Resolves after the first attempt, with the error if it failed. Retries
   * run in the background, and the failure of the last one is logged.
   */
  cancelGeneration(url: string, generation: string): Promise<ResultError | undefined>;
}

/** Creates a canceller. */
export function createCanceller(options: CancellerOptions): Canceller {
  const { engine, clock, logger, limits } = options;

  const tryCancel = async (url: string, generation: string, attempt: number) => {
    const cancelled = await engine.cancelGeneration(url, generation);
    if (cancelled.isRight()) {
      return undefined;
    }
    const error = cancelled.extract() as ResultError;
    if (attempt >= limits.cancelAttempts) {
      logger.writeEvent("cancelFailed", { url, generation, detail: error.detail });
      return error;
    }
    clock.startTimer(limits.cancelRetryMs, () => tryCancel(url, generation, attempt + 1));
    return error;
  };
  return { cancelGeneration: (url, generation) => tryCancel(url, generation, 1) };
}
