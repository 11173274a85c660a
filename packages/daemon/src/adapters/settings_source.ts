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

/** A batch of published values and the revision of the service that sent it. */
export interface PublishedBatch {
  readonly revision: number;
  readonly values: readonly PublishedValue[];
}

/** Handlers of a running watch. */
export interface WatchHandlers {
  handleBatch(batch: PublishedBatch): void;
  /**
   * Called once when the watch ends for any reason other than the returned function; the code is
   * `settingsRevisionCompacted` when the service has dropped the changes after `revision`.
   */
  handleEnd(error: ResultError): void;
}

/** The platform's settings service, which can only be read and watched. */
export interface SettingsSource {
  /** Reads every value in one call, as of the revision in the batch. */
  readAll(): Promise<Either<ResultError, PublishedBatch>>;
  /** Reads the service's revision in one cheap call. */
  readRevision(): Promise<Either<ResultError, number>>;
  /**
   * Watches for changes after `revision`, older ones that were missed included; returns a function
   * that ends the watch. Each batch is in the order of the changes.
   */
  watchAfter(revision: number, handlers: WatchHandlers): () => void;
}
