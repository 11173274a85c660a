import type { ResultError } from "@crocussail/protocol";
import type { Either } from "purify-ts";
import type { CacheEventRecord, LoadRecord } from "./load_record_schema.ts";

/** Reads load reports and cache events of a model engine; both are late, events may be missing. */
export interface LoadClient {
  readLoad(url: string): Promise<Either<ResultError, LoadRecord>>;
  /** Reads the changes of the prefix cache after a sequence number. */
  readCacheEvents(
    url: string,
    after: number,
  ): Promise<Either<ResultError, readonly CacheEventRecord[]>>;
}
