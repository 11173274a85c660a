import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { verifyText } from "../common/verify_text.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { keyPrefixSchema } from "./key_prefix_schema.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";

const ORDER_KEY = /^ck1\.([A-Za-z0-9_-]{1,768})\.([A-Za-z0-9_-]{22})\.([A-Za-z0-9_.:-]{1,128})$/;
const partsSchema = z.array(z.tuple([z.string(), z.string(), z.number()]));

/** Checks an idempotency key and returns the replicas in its prefix. */
export function decodeOrderKey(
  key: string,
  fleetKeys: readonly string[],
): Either<ResultError, KeyPrefix> {
  const match = key.length <= ORDER_LIMITS.maxKeyChars ? ORDER_KEY.exec(key) : null;
  const [, payload = "", signature = ""] = match ?? [];
  if (payload === "" || !verifyText(fleetKeys, `order:${payload}`, signature)) {
    const detail =
      "key has no valid prefix of this fleet, or its id is not 1 to 128 characters of " +
      "A-Z a-z 0-9 _ . : -";
    return Left(createResultError("orderKeyInvalid", detail));
  }
  return Either.encase(() => decodePayload(payload))
    .mapLeft((error) => createResultError("orderKeyInvalid", `prefix: ${error.message}`))
    .chain((prefix) => Right(prefix));
}

function decodePayload(payload: string): KeyPrefix {
  const content = JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  const parts = partsSchema.parse(content);
  return keyPrefixSchema.parse(
    parts.map(([host, incarnation, epoch]) => ({ host, incarnation, epoch })),
  );
}
