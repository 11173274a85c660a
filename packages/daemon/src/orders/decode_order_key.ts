import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { verifyText } from "../common/verify_text.ts";
import { keyPrefixSchema } from "./key_prefix_schema.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";

const ORDER_KEY = /^ck1\.([A-Za-z0-9_-]{1,768})\.([A-Za-z0-9_-]{22})\.[A-Za-z0-9_-]{1,128}$/;

/** Checks an idempotency key and returns the replicas that its prefix names. */
export function decodeOrderKey(
  key: string,
  fleetKeys: readonly string[],
): Either<ResultError, KeyPrefix> {
  const [, payload = "", signature = ""] = ORDER_KEY.exec(key) ?? [];
  if (payload === "" || !verifyText(fleetKeys, `order:${payload}`, signature)) {
    return Left(createResultError("orderKeyInvalid", "key has no valid prefix of this fleet"));
  }
  const content = JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  return Right(keyPrefixSchema.parse(content));
}
