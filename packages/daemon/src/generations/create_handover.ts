import type { ResultError } from "@crocussail/protocol";
import type { AdmissionOutcome } from "../admission/mod.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { RunTable } from "./create_run_table.ts";
import type { GenerationLimits } from "./generation_defaults.ts";
import { handoverMessageSchema } from "./handover_message_schema.ts";
import type { HandoverMessage } from "./handover_message_schema.ts";
import type { ResumeToken } from "./resume_token_schema.ts";

/** Options of {@link createHandover}. */
export interface HandoverOptions {
  readonly context: Pick<DaemonContext, "peers" | "logger" | "config">;
  readonly membership: Pick<Membership, "publishNotice" | "subscribeNotices">;
  readonly limits: Pick<
    GenerationLimits,
    "handoverAttempts" | "handoverTimeoutMs" | "resumeGraceMs"
  >;
  readonly runs: RunTable;
}

/** Moves a stream from the host that relayed it to the host where the caller resumes it. */
export interface Handover {
  /**
   * Tells the host that began the stream, which ends its own relay or that of the last host and
   * cancels nothing. When it cannot be reached, a notice tells every host.
   */
  announceResume(token: ResumeToken): Promise<void>;
  /** Tells the host that began the stream that it has ended, for its accounting. */
  announceEnd(token: ResumeToken, outcome: AdmissionOutcome, tokens: number): Promise<void>;
  /** Tells the host that relayed a stream last that it goes on here. */
  announceReturn(host: string, token: ResumeToken): Promise<void>;
}

const CHANNEL = "generations";
const TOPIC = "generations.resumed";

/** Creates the handover and answers the messages of other hosts. */
export function createHandover(options: HandoverOptions): Handover {
  const { runs, limits, membership } = options;
  const { peers, logger, config } = options.context;

  const sendUntilAcknowledged = async (host: string, message: HandoverMessage) => {
    let detail = "";
    for (let attempt = 0; attempt < limits.handoverAttempts; attempt++) {
      const reply = await peers.requestReply(host, CHANNEL, message, limits.handoverTimeoutMs);
      if (reply.isRight()) {
        return true;
      }
      detail = (reply.extract() as ResultError).detail;
    }
    const { generation } = message;
    logger.writeEvent("resumeUnacknowledged", { formerHost: host, generation, detail });
    return false;
  };
  const applyMessage = (from: string, message: HandoverMessage) => {
    const { generation, team } = message;
    if (message.type === "ended") {
      runs.finishMoved(generation, team, message.outcome, message.tokens);
      return;
    }
    if (message.type === "superseded") {
      runs.takeOver(generation, team);
      return;
    }
    const formerHost = runs.moveRun(generation, team, from);
    if (formerHost !== undefined && formerHost !== from) {
      sendUntilAcknowledged(formerHost, { type: "superseded", generation, team });
    }
  };

  peers.registerHandler(CHANNEL, (from, content) => {
    const parsed = handoverMessageSchema.safeParse(content);
    if (parsed.success) {
      applyMessage(from, parsed.data);
    }
    return { isAccepted: parsed.success };
  });
  membership.subscribeNotices(TOPIC, ({ origin, payload }) => {
    const parsed = handoverMessageSchema.safeParse(payload);
    if (parsed.success && parsed.data.type === "superseded" && origin !== config.host.name) {
      applyMessage(origin, parsed.data);
    }
  });

  return {
    announceResume: async ({ host, generation, team }) => {
      if (await sendUntilAcknowledged(host, { type: "resumed", generation, team })) {
        return;
      }
      membership.publishNotice({
        topic: TOPIC,
        key: `${generation}:${config.host.name}`,
        payload: { type: "superseded", generation, team },
        ttlMs: limits.resumeGraceMs,
      });
    },
    announceEnd: async ({ host, generation, team }, outcome, tokens) => {
      await sendUntilAcknowledged(host, { type: "ended", generation, team, outcome, tokens });
    },
    announceReturn: async (host, { generation, team }) => {
      await sendUntilAcknowledged(host, { type: "superseded", generation, team });
    },
  };
}
