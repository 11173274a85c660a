import type { LatencyTable } from "@crocussail/daemon/policy";
import type { EngineSink } from "@crocussail/stand_ins";
import type { RunMeasures } from "./create_run_measures.ts";
import type { InFlightRequest } from "./in_flight_request.ts";

/** Options of {@link createTokenSink}. */
export interface TokenSinkOptions {
  readonly upstream: string;
  readonly measures: RunMeasures;
  readonly latencies: LatencyTable;
  readonly findInFlight: (id: string) => InFlightRequest | undefined;
  readonly finishRequest: (id: string, atMs: number) => void;
}

/** Creates the receiver of an engine's tokens: checks their order and measures their times. */
export function createTokenSink(options: TokenSinkOptions): EngineSink {
  const { measures, latencies, upstream } = options;
  return {
    addTokens: ({ id, firstIndex, count, firstAtMs, stepMs }) => {
      const inFlight = options.findInFlight(id);
      if (inFlight === undefined) {
        return;
      }
      const { request } = inFlight;
      // Counts every unexpected index, which would also include a gap in the tokens.
      if (firstIndex !== inFlight.produced) {
        measures.recordDuplicate(request);
      }
      if (inFlight.lastTokenAtMs === undefined) {
        const sinceGrantMs = firstAtMs - inFlight.grantedAtMs;
        measures.recordFirstToken(request, firstAtMs - request.atMs, sinceGrantMs);
        latencies.recordFirstToken(upstream, request.kind.name, sinceGrantMs);
      } else {
        measures.recordGap(request, firstAtMs - inFlight.lastTokenAtMs, 1);
      }
      if (count > 1) {
        measures.recordGap(request, stepMs, count - 1);
      }
      if (inFlight.pausedAtMs !== undefined) {
        measures.recordPausedTime(request, firstAtMs - inFlight.pausedAtMs);
        inFlight.pausedAtMs = undefined;
      }
      inFlight.produced = firstIndex + count;
      inFlight.lastTokenAtMs = firstAtMs + (count - 1) * stepMs;
    },
    finishJob: options.finishRequest,
    pauseJob: (id, atMs) => {
      const inFlight = options.findInFlight(id);
      if (inFlight !== undefined) {
        measures.recordPause(inFlight.request);
        // The time to the first token already includes a pause before that token.
        inFlight.pausedAtMs = inFlight.lastTokenAtMs === undefined ? undefined : atMs;
      }
    },
  };
}
