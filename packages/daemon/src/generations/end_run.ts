import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { AnswerWriter } from "./answer_writer.ts";
import type { GenerationServices } from "./generation_services.ts";
import type { RelayEnd } from "./relay_options.ts";
import type { Run } from "./run.ts";

/** Options of {@link endRun}. */
export interface EndRunOptions {
  readonly requestId: string;
  readonly run: Run;
  readonly writer: AnswerWriter;
  /** Any end except `lost`, after which the request may be placed again. */
  readonly end: Exclude<RelayEnd, { readonly type: "lost" }>;
  /** Whether the caller has received a resume token. */
  readonly isResumable: boolean;
}

/**
 * Ends the response of a relay that has ended. Ends the admission accounting too, unless the run is
 * held for a resume or another stream has taken it over.
 */
export function endRun(services: GenerationServices, options: EndRunOptions): void {
  const { context, runs } = services;
  const { run, writer, end, requestId } = options;
  const { generation, upstream } = run;
  const fields = { upstream, generation, tokens: end.tokens, end: end.type };
  context.journal.recordDecision(requestId, "generations", "ended", fields);
  context.metrics.increment("generations.ended", 1, { end: end.type });
  switch (end.type) {
    case "finished":
      run.release("finished", end.tokens);
      writer.writeFinish(end.tokens, end.reason);
      context.logger.writeEvent("generationCompleted", { request: requestId, ...fields });
      return;
    case "tooLarge":
      cancelRun(services, run);
      writer.writeError(createResultError(
        "answerTooLarge",
        `response was cut after ${end.tokens} tokens; none was delivered`,
        { members: { tokens: 0 } },
      ));
      return;
    case "slow":
      writer.writeError(describeSlowCaller(end.tokens));
      context.clock.startTimer(services.limits.closeDelayMs, writer.close);
      runs.holdRun(run);
      return;
    case "stopped":
      if (run.isSuperseded) {
        writer.close();
        return;
      }
      if (options.isResumable) {
        runs.holdRun(run);
        return;
      }
      cancelRun(services, run);
  }
}

function cancelRun(services: GenerationServices, run: Run): void {
  services.canceller.cancelGeneration(run.url, run.generation);
  run.release("cancelled", run.tokens);
}

function describeSlowCaller(tokens: number): ResultError {
  const detail =
    `stream was cut after ${tokens} tokens because the caller did not read them in time`;
  return createResultError("callerTooSlow", detail, { members: { tokens } });
}
