/** Interface of the caller: chat messages or a plain prompt. */
export type GenerationApi = "chat" | "completion";

/** A caller's request in the form that both interfaces share. */
export interface GenerationRequest {
  readonly api: GenerationApi;
  readonly model: string;
  readonly prompt: string;
  /** Estimate from the prompt's length. */
  readonly promptTokens: number;
  readonly maxTokens?: number;
  /** Whether the caller wants server-sent events. */
  readonly isStream: boolean;
}
