import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { request } from "undici";
import type { z } from "zod";
import type { LoadClient } from "./load_client.ts";
import { loadRecordSchemas } from "./load_record_schema.ts";

const TIMEOUT_MS = 2_000;

/** Creates a client that reads load reports over HTTP; an answer of the wrong shape is a failure. */
export function createHttpLoadClient(): LoadClient {
  return {
    readLoad: (url) => fetchRecord(`${url}/v1/load`, loadRecordSchemas.load),
    readCacheEvents: async (url, after) => {
      const target = `${url}/v1/cache-events?after=${after}`;
      const answer = await fetchRecord(target, loadRecordSchemas.cacheEvents);
      return answer.map(({ events }) => events);
    },
  };
}

async function fetchRecord<T extends z.ZodType>(
  url: string,
  schema: T,
): Promise<Either<ResultError, z.infer<T>>> {
  try {
    const answer = await request(url, { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });
    return Right(schema.parse(await answer.body.json()));
  } catch (error) {
    return Left(createResultError("upstreamLost", `${url}: ${error}`));
  }
}
