import { signText } from "../common/sign_text.ts";
import type { HandoverFields, SignedRequest } from "./handover_fields.ts";
import { renderSignedText } from "./render_signed_text.ts";

/** Encodes the header of a handed-over request. */
export function encodeHandover(
  key: string,
  request: SignedRequest,
  { fromHost, ageMs, isCounted }: HandoverFields,
): string {
  const fields = [Math.max(0, Math.round(ageMs)), Number(isCounted), encodeURIComponent(fromHost)]
    .join(";");
  return `${fields};${signText(key, renderSignedText("request", request, fields))}`;
}
