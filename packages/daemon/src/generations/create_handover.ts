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
   * Notifies the host that started the stream of the resume. That host ends its own relay, or tells
   * the host that relayed the stream last to end its relay; the generation is not cancelled. If the
   * host that started the stream cannot be reached, a notice is published to all hosts instead.
   */
  announceResume(token: ResumeToken): Promise<void>;
  /** Notifies the host that started the stream of its end, so that it can release the grant. */
  announceEnd(token: ResumeToken, outcome: AdmissionOutcome, tokens: number): Promise<void>;
  /** Notifies the host that relayed the stream last that it continues on this host. */
  announceReturn(host: string, token: ResumeToken): Promise<void>;
}

const CHANNEL = "generations";
const TOPIC = "generations.resumed";

/** Creates the handover and handles the messages of other hosts. */
export function createHandover(options: HandoverOptions): Handover {
  const { runs, limits, membership } = options;
  const { peers, logger, config } = options.context;

  const sendWithRetries = async (host: string, message: HandoverMessage) => {
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
      runs.finishMovedRun(generation, team, message.outcome, message.tokens);
      return;
    }
    if (message.type === "superseded") {
      runs.takeOverRun(generation, team);
      return;
    }
    const formerHost = runs.moveRun(generation, team, from);
    if (formerHost !== undefined && formerHost !== from) {
      sendWithRetries(formerHost, { type: "superseded", generation, team });
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
      if (await sendWithRetries(host, { type: "resumed", generation, team })) {
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
      await sendWithRetries(host, { type: "ended", generation, team, outcome, tokens });
    },
    announceReturn: async (host, { generation, team }) => {
      await sendWithRetries(host, { type: "superseded", generation, team });
    },
  };
}
