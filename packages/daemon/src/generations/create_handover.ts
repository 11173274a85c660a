import type { ResultError } from "@crocussail/protocol";
import type { AdmissionOutcome } from "../admission/mod.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { RunTable } from "./create_run_table.ts";
import type { GENERATION_DEFAULTS } from "./generation_defaults.ts";
import { handoverMessageSchema } from "./handover_message_schema.ts";
import type { HandoverMessage } from "./handover_message_schema.ts";
import type { ResumeToken } from "./resume_token_schema.ts";

/** Options of {@link createHandover}. */
export interface HandoverOptions {
  readonly context: Pick<DaemonContext, "peers" | "logger">;
  readonly limits: Pick<typeof GENERATION_DEFAULTS, "handoverAttempts" | "handoverTimeoutMs">;
  readonly runs: RunTable;
}

/** Moves a stream from the host that began it to the host where the caller resumes it. */
export interface Handover {
  /** Tells the former host to end its own stream and to cancel nothing. */
  announceResume(token: ResumeToken): Promise<void>;
  /** Tells the former host that the resumed stream has ended, for its accounting. */
  announceEnd(token: ResumeToken, outcome: AdmissionOutcome, tokens: number): Promise<void>;
}

const CHANNEL = "generations";

/** Creates the handover and answers the messages of other hosts. */
export function createHandover(options: HandoverOptions): Handover {
  const { runs, limits } = options;
  const { peers, logger } = options.context;

  peers.registerHandler(CHANNEL, (_from, content) => {
    const parsed = handoverMessageSchema.safeParse(content);
    if (!parsed.success) {
      return { isKnown: false };
    }
    const message = parsed.data;
    if (message.type === "resumed") {
      return { isKnown: runs.moveRun(message.generation, message.team) };
    }
    runs.finishMoved(message.generation, message.team, message.outcome, message.tokens);
    return { isKnown: true };
  });

  const sendUntilAcknowledged = async (host: string, message: HandoverMessage) => {
    let failure: ResultError | undefined;
    for (let attempt = 0; attempt < limits.handoverAttempts; attempt++) {
      const reply = await peers.requestReply(host, CHANNEL, message, limits.handoverTimeoutMs);
      if (reply.isRight()) {
        return;
      }
      failure = reply.extract() as ResultError;
    }
    const { generation } = message;
    logger.writeEvent("resumeUnacknowledged", { host, generation, detail: failure?.detail ?? "" });
  };
  return {
    announceResume: ({ host, generation, team }) =>
      sendUntilAcknowledged(host, { type: "resumed", generation, team }),
    announceEnd: ({ host, generation, team }, outcome, tokens) =>
      sendUntilAcknowledged(host, { type: "ended", generation, team, outcome, tokens }),
  };
}
