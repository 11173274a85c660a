import { createResultError } from "@crocussail/protocol";
import type { AnswerWriter } from "./answer_writer.ts";
import type { ResumePosition } from "./decode_last_event_id.ts";
import { encodeResumeToken } from "./encode_resume_token.ts";
import { endRun } from "./end_run.ts";
import type { GenerationServices } from "./generation_services.ts";
import { relayRun } from "./relay_run.ts";
import type { ResumeToken } from "./resume_token_schema.ts";
import type { Run } from "./run.ts";

/** Options of {@link serveResume}. */
export interface ServeResumeOptions {
  readonly requestId: string;
  readonly position: ResumePosition;
  /** URL of the upstream that the token names. */
  readonly url: string;
  readonly writer: AnswerWriter;
  readonly deadlineMs: number;
}

/** Serves the rest of a stream that was started on this host or on another one. */
export async function serveResume(
  services: GenerationServices,
  options: ServeResumeOptions,
): Promise<void> {
  const { context } = services;
  const { writer, requestId, deadlineMs } = options;
  const { token, index } = options.position;
  const run = createResumedRun(services, options);
  const fields = { generation: token.generation, upstream: token.upstream, from: index + 1 };
  context.logger.writeEvent("generationResumed", { request: requestId, ...fields });
  context.journal.recordDecision(requestId, "generations", "resumed", fields);
  writer.startAnswer({
    generation: token.generation,
    resumeToken: encodeResumeToken(token, context.config.fleetKeys[0]),
  });
  const end = await relayRun(services, {
    requestId,
    run,
    writer,
    deadlineMs,
    recordProgress: () => {},
  });
  if (end.type !== "lost") {
    endRun(services, { requestId, run, writer, end, isResumable: true });
    return;
  }
  run.release("lost", end.tokens);
  const code = end.cause.code === "generationUnknown" ? "generationUnknown" : "upstreamLost";
  const detail = `upstream "${token.upstream}" was lost (${end.cause.code}, ` +
    `${end.cause.reason}) after ${end.tokens} tokens`;
  const members = { tokens: end.tokens };
  writer.writeError(createResultError(code, detail, { ran: "yes", members }));
}

/** Creates the run of a resumed stream and takes over the accounting of the former run. */
function createResumedRun(services: GenerationServices, options: ServeResumeOptions): Run {
  const { token, index } = options.position;
  const { generation, team, upstream } = token;
  return {
    generation,
    team,
    upstream,
    url: options.url,
    tokens: index + 1,
    isSuperseded: false,
    interrupt: () => {},
    release: takeRelease(services, token),
  };
}

/** Ends a former relay of the stream; returns the function that ends the accounting of the run. */
function takeRelease(services: GenerationServices, token: ResumeToken): Run["release"] {
  const { handover, runs, context } = services;
  const localRun = runs.takeOverRun(token.generation, token.team);
  if (localRun !== undefined) {
    return localRun.release;
  }
  if (token.host !== context.config.host.name) {
    handover.announceResume(token);
    return (outcome, tokens) => {
      handover.announceEnd(token, outcome, tokens);
    };
  }
  const moved = runs.reclaimRun(token.generation, token.team);
  if (moved === undefined) {
    return () => {};
  }
  handover.announceReturn(moved.host, token);
  return moved.run.release;
}
