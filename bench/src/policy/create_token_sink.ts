import type { SpeedTable } from "@crocussail/daemon/policy";
import type { EngineSink } from "@crocussail/stand_ins";
import type { RunMeasures } from "./create_run_measures.ts";
import type { Flight } from "./flight.ts";

/** Options of {@link createTokenSink}. */
export interface TokenSinkOptions {
  readonly upstream: string;
  readonly measures: RunMeasures;
  readonly speeds: SpeedTable;
  readonly findFlight: (id: string) => Flight | undefined;
  readonly finishFlight: (id: string, atMs: number) => void;
}

/** Creates the caller's side of an engine: checks the order of tokens and measures their times. */
export function createTokenSink(options: TokenSinkOptions): EngineSink {
  const { measures, speeds, upstream } = options;
  return {
    addTokens: ({ id, firstIndex, count, firstAtMs, stepMs }) => {
      const flight = options.findFlight(id);
      if (flight === undefined) {
        return;
      }
      const { request } = flight;
      if (firstIndex !== flight.produced) {
        measures.noteDuplicate(request);
      }
      if (flight.lastTokenMs === undefined) {
        const delayMs = firstAtMs - flight.grantedMs;
        measures.noteFirstToken(request, firstAtMs - request.atMs, delayMs);
        speeds.noteFirstToken(upstream, request.kind.name, delayMs);
      } else {
        measures.noteGap(request, firstAtMs - flight.lastTokenMs, 1);
      }
      if (count > 1) {
        measures.noteGap(request, stepMs, count - 1);
      }
      if (flight.pausedMs !== undefined) {
        measures.notePausedTime(request, firstAtMs - flight.pausedMs);
        flight.pausedMs = undefined;
      }
      flight.produced = firstIndex + count;
      flight.lastTokenMs = firstAtMs + (count - 1) * stepMs;
    },
    finishJob: options.finishFlight,
    pauseJob: (id, atMs) => {
      const flight = options.findFlight(id);
      if (flight !== undefined) {
        measures.notePause(flight.request);
        flight.pausedMs = flight.lastTokenMs === undefined ? undefined : atMs;
      }
    },
  };
}
