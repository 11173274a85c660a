import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { EngineEvent } from "./engine_event_schema.ts";

/** A generation to start on an engine. */
export interface EngineRequest {
  /** Id chosen by the caller of this interface; unique for each placement. */
  readonly generation: string;
  readonly model: string;
  /** Adapter of the model to run with. */
  readonly adapter?: string;
  readonly prompt: string;
  /** Separates cache entries: an engine shares cached prompts only between requests of one salt. */
  readonly cacheSalt: string;
  readonly maxTokens?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Running stream of one generation. */
export interface EngineStream {
  /**
   * Waits for the next events, in the order of arrival. Returns undefined once the link has ended,
   * for whatever reason: only an event with `finish` says that the generation is complete. An
   * implementation stops reading from the engine while a bounded number of events waits here.
   */
  readBatch(): Promise<readonly EngineEvent[] | undefined>;
  /** Closes the connection; the generation itself goes on. A waiting read returns undefined. */
  close(): void;
}

/**
 * One model engine. Failures carry one of these codes:
 * - `upstreamUnreachable`: no connection came about; nothing was sent (`ran: "no"`).
 * - `upstreamRefused`: the engine declined, for example because it is leaving (`ran: "no"`).
 * - `generationUnknown`: the engine answers but holds no such generation.
 * - `upstreamLost`: anything else; after a start the generation may run (`ran: "unknown"`).
 */
export interface EngineClient {
  /** Starts a generation. A left value with `ran: "no"` proves that it did not start. */
  startGeneration(url: string, request: EngineRequest): Promise<Either<ResultError, EngineStream>>;
  /** Streams the events of a generation from `index` on. */
  resumeGeneration(
    url: string,
    generation: string,
    index: number,
  ): Promise<Either<ResultError, EngineStream>>;
  /** Cancels a generation; a generation that the engine does not know counts as cancelled. */
  cancelGeneration(url: string, generation: string): Promise<Either<ResultError, void>>;
}
