import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left } from "purify-ts";
import type { Either } from "purify-ts";
import type { ServiceClient, ServiceResponse } from "../adapters/service_client.ts";
import type { ServiceCall } from "./service_call.ts";

/** Sends a repeatable call; tries another upstream only if no byte of the call was written. */
export async function sendRepeatableCall(
  call: ServiceCall,
  service: ServiceClient,
): Promise<Either<ResultError, ServiceResponse>> {
  let last = createResultError("noUpstream", `service "${call.service}" has no live upstream`);
  for (const url of call.urls) {
    const result = await service.callService(url, call.request);
    const error = result.swap().toMaybe().extract();
    if (error === undefined) {
      return result;
    }
    last = { ...error, code: error.ran === "no" ? "noUpstream" : "serviceFailed" };
    if (error.ran !== "no") {
      break;
    }
  }
  return Left(last);
}
