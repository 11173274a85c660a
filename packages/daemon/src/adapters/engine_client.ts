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
  /** Separates cache entries: an engine shares cached prompts only among requests of one salt. */
  readonly cacheSalt: string;
  readonly maxTokens?: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Event stream of one generation. */
export interface EngineStream {
  /**
   * Waits for the next events, in the order of arrival. Returns undefined once the connection has
   * ended for any reason; only an event with `finish` means that the generation is complete. An
   * implementation stops reading from the engine when a bounded queue of events is full.
   */
  readBatch(): Promise<readonly EngineEvent[] | undefined>;
  /** Closes the connection; the generation itself continues. A pending read returns undefined. */
  close(): void;
}

/**
 * One model engine. Failures carry one of these codes:
 * - `upstreamUnreachable`: no connection could be opened; nothing was sent (`ran: "no"`).
 * - `upstreamRefused`: the engine refused, for example because it is draining (`ran: "no"`).
 * - `generationUnknown`: the engine responds but has no such generation.
 * - `upstreamLost`: anything else; after a start the generation may be running (`ran: "unknown"`).
 */
export interface EngineClient {
  /** Starts a generation. A left value with `ran: "no"` proves that it did not start. */
  startGeneration(url: string, request: EngineRequest): Promise<Either<ResultError, EngineStream>>;
  /** Streams the events of a generation, starting at `index`. */
  resumeGeneration(
    url: string,
    generation: string,
    index: number,
  ): Promise<Either<ResultError, EngineStream>>;
  /** Cancels a generation; one that is unknown to the engine counts as cancelled. */
  cancelGeneration(url: string, generation: string): Promise<Either<ResultError, void>>;
}
