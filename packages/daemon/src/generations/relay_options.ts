import type { Clock, ResultCodeName } from "@crocussail/protocol";
import type { EngineClient, EngineStream } from "../adapters/engine_client.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import type { GenerationLimits } from "./generation_defaults.ts";

/** Options of a relay of one generation. */
export interface RelayOptions {
  readonly engine: EngineClient;
  readonly clock: Clock;
  readonly limits: GenerationLimits;
  readonly writer: AnswerWriter;
  readonly url: string;
  readonly generation: string;
  /** Index of the first token to deliver. */
  readonly fromIndex: number;
  /** Stream that is already open; without it, the relay starts with a resume. */
  readonly stream?: EngineStream;
  /** Monotonic time after which no reconnect starts. */
  readonly deadlineMs: number;
  /** Records the number of tokens delivered so far. */
  readonly recordProgress: (tokens: number) => void;
  /** Records a reconnect after `tokens` delivered tokens, and the error code that caused it. */
  readonly recordReconnect: (tokens: number, cause: string) => void;
  /** Whether the relay has been stopped: the caller disconnected or another relay took over. */
  readonly isStopped: () => boolean;
  /** Sets the function that interrupts the current wait, so that `isStopped` is checked at once. */
  readonly setInterrupt: (interrupt: () => void) => void;
}

/**
 * How a relay ended; `tokens` counts from the first token of the generation. `slow`: the caller
 * read too slowly. `tooLarge`: a non-streaming response exceeded its size limit.
 */
export type RelayEnd =
  | { readonly type: "finished"; readonly tokens: number; readonly reason: string }
  | { readonly type: "lost"; readonly tokens: number; readonly cause: RelayLossCause }
  | { readonly type: "stopped" | "slow" | "tooLarge"; readonly tokens: number };

/**
 * Error code of the last attempt, and the reason why no further attempt was made. `attempts`: the
 * maximum number of reconnects was reached. `deadline`: the next one would start after the
 * deadline.
 */
export interface RelayLossCause {
  readonly code: ResultCodeName;
  readonly reason: "generationUnknown" | "attempts" | "deadline";
}
