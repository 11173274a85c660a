import { Buffer } from "node:buffer";
import { signText } from "../common/sign_text.ts";
import type { ResumeToken } from "./resume_token_schema.ts";

/** Encodes and signs a resume token. */
export function encodeResumeToken(token: ResumeToken, fleetKey: string): string {
  const payload = Buffer.from(JSON.stringify(token)).toString("base64url");
  return `${payload}.${signText(fleetKey, `resume:${payload}`)}`;
}
