import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { verifyText } from "../common/verify_text.ts";
import { resumeTokenSchema } from "./resume_token_schema.ts";
import type { ResumeToken } from "./resume_token_schema.ts";

/** Position in a stream that a caller has reached. */
export interface ResumePosition {
  readonly token: ResumeToken;
  /** Index of the last token received. */
  readonly index: number;
}

const LAST_EVENT_ID = /^([A-Za-z0-9_-]{1,2048})\.([A-Za-z0-9_-]{22}):(\d{1,9})$/;

/** Checks and decodes a `Last-Event-ID` of the form `<payload>.<signature>:<index>`. */
export function decodeLastEventId(
  text: string,
  fleetKeys: readonly string[],
): Either<ResultError, ResumePosition> {
  const [, payload = "", signature = "", index = ""] = LAST_EVENT_ID.exec(text) ?? [];
  if (payload === "" || !verifyText(fleetKeys, `resume:${payload}`, signature)) {
    return Left(createResultError("invalidResumeToken", "Last-Event-ID is malformed or forged"));
  }
  const content = JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  return Right({ token: resumeTokenSchema.parse(content), index: Number(index) });
}
