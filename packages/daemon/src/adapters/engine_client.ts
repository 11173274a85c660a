import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { EngineEvent } from "./engine_event_schema.ts";

/** A generation to start on an engine. */
export interface EngineRequest {
  /** Id chosen by the caller of this interface; unique for each placement. */
  readonly generation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Running stream of one generation. */
export interface EngineStream {
  readonly events: AsyncIterable<EngineEvent>;
  /** Closes the connection; the generation itself goes on. */
  close(): void;
}

/** One model engine. */
export interface EngineClient {
  /** Starts a generation. A left value with `ran: "no"` proves that it did not start. */
  startGeneration(url: string, request: EngineRequest): Promise<Either<ResultError, EngineStream>>;
  /** Streams the events of a generation from `index` on. */
  resumeGeneration(
    url: string,
    generation: string,
    index: number,
  ): Promise<Either<ResultError, EngineStream>>;
  /** Cancels a generation. */
  cancelGeneration(url: string, generation: string): Promise<Either<ResultError, void>>;
}
