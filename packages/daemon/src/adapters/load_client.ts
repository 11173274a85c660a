import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { CacheEventRecord, LoadRecord } from "./load_record_schema.ts";

/** Load and cache reports of one model engine; both are late, cache events may have gaps. */
export interface LoadClient {
  readLoad(url: string): Promise<Either<ResultError, LoadRecord>>;
  /** Reads the changes of the prefix cache after a sequence number. */
  readCacheEvents(
    url: string,
    after: number,
  ): Promise<Either<ResultError, readonly CacheEventRecord[]>>;
}
