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
  /** Called once when the watch ends for any reason other than `close`. */
  handleEnd(error: ResultError): void;
}

/** The platform's settings service, which can only be read and watched. */
export interface SettingsSource {
  /** Reads every value. */
  readAll(): Promise<Either<ResultError, PublishedBatch>>;
  /** Watches for changes after `revision`; returns a function that ends the watch. */
  watchAfter(revision: number, handlers: WatchHandlers): () => void;
}
