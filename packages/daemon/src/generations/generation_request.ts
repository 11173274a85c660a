/** API that the caller uses: chat messages or a plain prompt. */
export type GenerationApi = "chat" | "completion";

/** Request of a caller in the form that both APIs share. */
export interface GenerationRequest {
  readonly api: GenerationApi;
  readonly model: string;
  readonly prompt: string;
  /** Estimated from the length of the prompt. */
  readonly promptTokens: number;
  readonly maxTokens?: number;
  /** Whether the caller requested server-sent events. */
  readonly isStream: boolean;
}
