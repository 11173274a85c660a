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
  /** Stream already open; without one the relay resumes. */
  readonly stream?: EngineStream;
  /** Monotonic time after which no reconnect starts. */
  readonly deadlineMs: number;
  /** Reports the tokens delivered so far. */
  readonly noteProgress: (tokens: number) => void;
  /** Reports a reconnect. */
  readonly noteReconnect: (tokens: number, cause: string) => void;
  /** Tells whether the relay has to end: the caller has gone, or another relay has taken over. */
  readonly isStopped: () => boolean;
  /** Gives the function that interrupts the relay, so that it sees `isStopped` at once. */
  readonly setInterrupt: (interrupt: () => void) => void;
}

/** How a relay ended; `tokens` counts the generation from its first token. */
export type RelayEnd =
  | { readonly type: "finished"; readonly tokens: number; readonly reason: string }
  | { readonly type: "lost"; readonly tokens: number; readonly cause: RelayLossCause }
  | { readonly type: "stopped" | "slow" | "tooLarge"; readonly tokens: number };

/** Failure of the last attempt, and why there was no further one. */
export interface RelayLossCause {
  readonly code: ResultCodeName;
  readonly reason: "generationUnknown" | "attempts" | "deadline";
}
