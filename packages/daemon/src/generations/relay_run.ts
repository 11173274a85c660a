import type { EngineStream } from "../adapters/engine_client.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import type { GenerationServices } from "./generation_services.ts";
import { relayGeneration } from "./relay_generation.ts";
import type { RelayEnd } from "./relay_options.ts";
import type { Run } from "./run.ts";

/** Options of {@link relayRun}. */
export interface RelayRunOptions {
  readonly requestId: string;
  readonly run: Run;
  readonly writer: AnswerWriter;
  readonly deadlineMs: number;
  readonly stream?: EngineStream;
  /** Records the number of tokens delivered so far; called once per `progressTokens` at most. */
  readonly recordProgress: (tokens: number) => void;
}

/** Adds a run to the run table and relays it to its caller until the relay ends. */
export async function relayRun(
  services: GenerationServices,
  options: RelayRunOptions,
): Promise<RelayEnd> {
  const { context, limits, engine, runs } = services;
  const { run, writer, requestId } = options;
  let recordedTokens = run.tokens;
  runs.addRun(run);
  writer.watchGone(() => run.interrupt());
  const end = await relayGeneration({
    engine,
    clock: context.clock,
    limits,
    writer,
    url: run.url,
    generation: run.generation,
    fromIndex: run.tokens,
    ...(options.stream === undefined ? {} : { stream: options.stream }),
    deadlineMs: options.deadlineMs,
    recordProgress: (tokens) => {
      run.tokens = tokens;
      if (tokens - recordedTokens >= limits.progressTokens) {
        recordedTokens = tokens;
        options.recordProgress(tokens);
      }
    },
    recordReconnect: (tokens, cause) => {
      const { upstream, generation } = run;
      const fields = { upstream, generation, tokens, cause };
      context.logger.writeEvent("generationReconnected", { request: requestId, ...fields });
      context.journal.recordDecision(requestId, "generations", "reconnected", fields);
      context.metrics.increment("generations.reconnects");
    },
    isStopped: () => run.isSuperseded || writer.isDisconnected(),
    setInterrupt: (interrupt) => {
      run.interrupt = interrupt;
    },
  });
  runs.removeRun(run);
  return end;
}
