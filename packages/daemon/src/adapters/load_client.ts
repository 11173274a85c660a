import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { CacheEventRecord, LoadRecord } from "./load_record_schema.ts";

/** Reads load and cache reports of a model engine; both are delayed, cache events may have gaps. */
export interface LoadClient {
  readLoad(url: string): Promise<Either<ResultError, LoadRecord>>;
  /** Reads the changes of the prefix cache after a sequence number. */
  readCacheEvents(
    url: string,
    after: number,
  ): Promise<Either<ResultError, readonly CacheEventRecord[]>>;
}
