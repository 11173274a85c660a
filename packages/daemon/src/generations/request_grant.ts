import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { AdmissionGrant } from "../admission/mod.ts";
import type { GenerationServices } from "./generation_services.ts";
import { hashPromptPrefix } from "./hash_prompt_prefix.ts";
import type { ServeOptions } from "./serve_options.ts";

/** Asks admission for a place; a place that comes too late, or for nobody, is given back. */
export async function requestGrant(
  services: GenerationServices,
  options: ServeOptions,
  excluded: ReadonlySet<string>,
): Promise<AdmissionGrant | ResultError> {
  const { request, target, team, writer } = options;
  const granted = await services.admission.requestGrant({
    requestId: options.requestId,
    team: team.name,
    kind: options.kind,
    model: target.model,
    promptTokens: request.promptTokens,
    ...(request.maxTokens === undefined ? {} : { maxTokens: request.maxTokens }),
    deadlineMs: options.deadlineMs,
    excluded,
    prefixKey: hashPromptPrefix(team.name, request.prompt),
    isAbandoned: writer.isGone,
  });
  if (granted.isLeft()) {
    return granted.extract() as ResultError;
  }
  const grant = granted.extract() as AdmissionGrant;
  const isLate = services.context.clock.readMonotonicMs() >= options.deadlineMs;
  if (!isLate && !writer.isGone()) {
    return grant;
  }
  grant.release("notRun");
  const detail = isLate ? "deadline passed before a place was free" : "caller has gone";
  return createResultError("timeout", detail, { ran: "no" });
}
