import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";

/** One published value or its tombstone. */
export interface PublishedValue {
  readonly path: string;
  /** INI text; absent for a tombstone. */
  readonly text?: string;
  /** Revision of the last change of this path. */
  readonly revision: number;
}

/** A batch of published values and the service's revision when it sent the batch. */
export interface PublishedBatch {
  readonly revision: number;
  readonly values: readonly PublishedValue[];
}

/** Handlers of a running watch. */
export interface WatchHandlers {
  handleBatch(batch: PublishedBatch): void;
  /**
   * Called once when the watch ends, unless the returned function ended it. The code is
   * `settingsRevisionCompacted` if the service has compacted changes after `revision`.
   */
  handleEnd(error: ResultError): void;
}

/** Read-only access to the platform's settings service. */
export interface SettingsSource {
  /** Reads every value at the revision of the batch, in one call. */
  readAll(): Promise<Either<ResultError, PublishedBatch>>;
  /** Reads the service's revision in one call, without the values. */
  readRevision(): Promise<Either<ResultError, number>>;
  /**
   * Watches for changes after `revision`, including those made before the call; returns a function
   * that ends the watch. The values of each batch are in the order of the changes.
   */
  watchAfter(revision: number, handlers: WatchHandlers): () => void;
}
