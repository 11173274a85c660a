import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { AdmissionGrant } from "../admission/mod.ts";
import type { GenerationServices } from "./generation_services.ts";
import { hashPromptPrefix } from "./hash_prompt_prefix.ts";
import type { ServeOptions } from "./serve_options.ts";

/**
 * Requests an admission grant. Releases the grant if it arrives after the deadline or after the
 * caller has disconnected.
 */
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
    isAbandoned: writer.isDisconnected,
  });
  if (granted.isLeft()) {
    return granted.extract() as ResultError;
  }
  const grant = granted.extract() as AdmissionGrant;
  const isLate = services.context.clock.readMonotonicMs() >= options.deadlineMs;
  if (!isLate && !writer.isDisconnected()) {
    return grant;
  }
  grant.release("notRun");
  const detail = isLate
    ? "deadline passed before admission granted an upstream"
    : "caller disconnected";
  return createResultError("timeout", detail, { ran: "no" });
}
