import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Either, Left, Right } from "purify-ts";
import { verifyText } from "../common/verify_text.ts";
import { resumeTokenSchema } from "./resume_token_schema.ts";
import type { ResumeToken } from "./resume_token_schema.ts";

/** Position up to which a caller has received a stream. */
export interface ResumePosition {
  readonly token: ResumeToken;
  /** Index of the last token that the caller has received. */
  readonly index: number;
}

const LAST_EVENT_ID = /^([A-Za-z0-9_-]{1,2048})\.([A-Za-z0-9_-]{22}):(\d{1,9})$/;
const INVALID = createResultError("invalidResumeToken", "Last-Event-ID is malformed or forged");

/** Verifies and decodes a `Last-Event-ID` of the form `<payload>.<signature>:<index>`. */
export function decodeLastEventId(
  text: string,
  fleetKeys: readonly string[],
): Either<ResultError, ResumePosition> {
  const [, payload = "", signature = "", index = ""] = LAST_EVENT_ID.exec(text) ?? [];
  if (payload === "" || !verifyText(fleetKeys, `resume:${payload}`, signature)) {
    return Left(INVALID);
  }
  const content = Either.encase<Error, unknown>(() =>
    JSON.parse(Buffer.from(payload, "base64url").toString("utf8"))
  );
  const parsed = resumeTokenSchema.safeParse(content.orDefault(undefined));
  return parsed.success ? Right({ token: parsed.data, index: Number(index) }) : Left(INVALID);
}
