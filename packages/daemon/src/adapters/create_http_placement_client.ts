import { createResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import type { PlacementClient } from "./placement_client.ts";
import { placementStatusSchema } from "./placement_status_schema.ts";

const TIMEOUT_MS = 2_000;
const CONFLICT = 409;

/** Creates a client for the placement API of engines: `GET` and `POST /v1/placement`. */
export function createHttpPlacementClient(): PlacementClient {
  return {
    fetchPlacementStatus: async (url) => {
      try {
        const answer = await request(`${url}/v1/placement`, {
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        const body = await answer.body.json();
        const parsed = placementStatusSchema.safeParse(body);
        return answer.statusCode === 200 && parsed.success
          ? Right(parsed.data)
          : Left(createResultError("placementUnknown", `${url}: status ${answer.statusCode}`));
      } catch (error) {
        return Left(createResultError("placementUnknown", `${url}: ${error}`));
      }
    },
    sendPlacementOrder: async (url, order) => {
      try {
        const answer = await request(`${url}/v1/placement`, {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(order),
          signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        await answer.body.dump();
        if (answer.statusCode < 300) {
          return Right(undefined);
        }
        const code = answer.statusCode === CONFLICT ? "placementRefused" : "placementUnknown";
        return Left(createResultError(code, `${url}: status ${answer.statusCode}`));
      } catch (error) {
        return Left(createResultError("placementUnknown", `${url}: ${error}`));
      }
    },
  };
}
