import type { FastifyReply, FastifyRequest } from "fastify";
import type { EngineClient } from "../adapters/engine_client.ts";
import type { Admission } from "../admission/mod.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { createCanceller } from "./create_canceller.ts";
import { createGenerationHandler } from "./create_generation_handler.ts";
import { createHandover } from "./create_handover.ts";
import { createModelsHandler } from "./create_models_handler.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import { createResumeHandler } from "./create_resume_handler.ts";
import { createRunTable } from "./create_run_table.ts";
import { createStreamSlots } from "./create_stream_slots.ts";
import { GENERATION_DEFAULTS } from "./generation_defaults.ts";
import type { GenerationLimits } from "./generation_defaults.ts";
import type { GenerationApi } from "./generation_request.ts";
import type { GenerationServices } from "./generation_services.ts";
import type { Generations } from "./generations.ts";

/** Options of {@link createGenerations}; `limits` override the defaults. */
export interface GenerationsOptions {
  readonly context: DaemonContext;
  readonly settings: SettingsView;
  readonly membership: Pick<Membership, "publishNotice" | "subscribeNotices">;
  readonly admission: Admission;
  readonly engine: EngineClient;
  readonly limits?: Partial<GenerationLimits>;
}

/** Creates the generations module. */
export function createGenerations(options: GenerationsOptions): Generations {
  const { context, settings, engine, admission, membership } = options;
  const { clock, logger } = context;
  const limits = { ...GENERATION_DEFAULTS, ...options.limits };
  const canceller = createCanceller({ engine, clock, logger, limits });
  const runs = createRunTable({
    clock,
    limits,
    cancelRun: (run) => {
      const { generation, upstream, tokens } = run;
      logger.writeEvent("generationCancelled", { generation, upstream, tokens });
      canceller.cancelGeneration(run.url, generation);
    },
  });
  const slots = createStreamSlots(limits);
  const quarantine = createQuarantine({ context, membership });
  const services: GenerationServices = {
    context,
    limits,
    settings,
    admission,
    engine,
    canceller,
    runs,
    slots,
    handover: createHandover({ context, membership, limits, runs }),
    quarantine,
    retryBudget: { tokens: limits.retryBurst },
  };
  const handleResume = createResumeHandler(services);
  const createHandler = (api: GenerationApi) => {
    const handleRequest = createGenerationHandler(services, api);
    return (request: FastifyRequest, reply: FastifyReply) =>
      request.headers["last-event-id"] === undefined
        ? handleRequest(request, reply)
        : handleResume(request, reply);
  };

  return {
    registerRoutes: (server) => {
      server.post("/v1/chat/completions", createHandler("chat"));
      server.post("/v1/completions", createHandler("completion"));
      server.get("/v1/streams/resume", handleResume);
      server.get("/v1/models", createModelsHandler(settings));
    },
    countRunning: () => slots.countTaken() + runs.countHeld(),
    stop: runs.stop,
    dumpState: () => ({
      slots: slots.dumpState(),
      runs: runs.dumpState(),
      retryTokens: services.retryBudget.tokens,
      quarantine: quarantine.dumpState(),
    }),
  };
}
