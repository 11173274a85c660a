import { verifyText } from "../common/verify_text.ts";
import type { HandoverFields, SignedRequest } from "./handover_fields.ts";
import { renderSignedText } from "./render_signed_text.ts";

const PATTERN = /^((\d{1,9});([01]);([^;]{1,600}));([\w-]{1,64})$/;

/** Decodes the header of a handed-over request; undefined if the fleet's key has not signed it. */
export function decodeHandover(
  key: string,
  request: SignedRequest,
  header: string,
): HandoverFields | undefined {
  const [, fields = "", ageMs, isCounted, fromHost = "", signature = ""] = PATTERN.exec(header) ??
    [];
  if (!verifyText([key], renderSignedText("request", request, fields), signature)) {
    return undefined;
  }
  return {
    fromHost: decodeURIComponent(fromHost),
    ageMs: Number(ageMs),
    isCounted: isCounted === "1",
  };
}
