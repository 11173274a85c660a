import type { TeamSettings } from "../settings/mod.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import type { GenerationRequest } from "./generation_request.ts";
import type { ModelTarget } from "./model_target.ts";

/** One request of a caller and the context in which it is served. */
export interface ServeOptions {
  readonly requestId: string;
  readonly team: TeamSettings;
  readonly kind: string;
  readonly request: GenerationRequest;
  readonly target: ModelTarget;
  readonly writer: AnswerWriter;
  /** Hash that identifies the request in the quarantine. */
  readonly fingerprint: string;
  readonly deadlineMs: number;
}
