import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { request } from "undici";
import type { z } from "zod";
import type { LoadClient } from "./load_client.ts";
import { loadRecordSchemas } from "./load_record_schema.ts";

const TIMEOUT_MS = 2_000;
const MAX_REPORT_BYTES = 2 * 1024 * 1024;

/** Creates a client that reads load reports over HTTP; a response of the wrong format fails. */
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
    const text = await readBounded(answer.body);
    if (answer.statusCode !== 200) {
      return Left(createResultError("upstreamLost", `${url}: status ${answer.statusCode}`));
    }
    return Right(schema.parse(JSON.parse(text)));
  } catch (error) {
    return Left(createResultError("upstreamLost", `${url}: ${error}`));
  }
}

/** Reads a body as text; if it exceeds the limit, closes the connection and throws. */
async function readBounded(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_REPORT_BYTES) {
      throw new Error(`report is larger than ${MAX_REPORT_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
