import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import { Client } from "undici";
import type { ServiceClient } from "./service_client.ts";

/** Creates a client for plain services over HTTP. */
export function createHttpServiceClient(): ServiceClient {
  return {
    callService: async (url, call) => {
      const client = new Client(url, { pipelining: 0 });
      try {
        const answer = await client.request({
          method: call.method as "GET",
          path: call.path,
          headers: call.headers,
          body: call.body.length === 0 ? null : call.body,
          headersTimeout: call.timeoutMs,
          bodyTimeout: call.timeoutMs,
        });
        const body = new Uint8Array(await answer.body.arrayBuffer());
        const contentType = String(answer.headers["content-type"] ?? "application/octet-stream");
        return Right({ status: answer.statusCode, headers: { "content-type": contentType }, body });
      } catch (error) {
        const isRefused = (error as { code?: string }).code === "ECONNREFUSED";
        const ran = isRefused ? "no" : "unknown";
        return Left(createResultError("orderOutcomeUnknown", `${url}: ${error}`, { ran }));
      } finally {
        await client.destroy();
      }
    },
  };
}
