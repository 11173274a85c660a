import type { SignedRequest } from "./handover_fields.ts";

/** Renders the text that signs a handed-over request, with its encoded fields, or its response. */
export function renderSignedText(
  purpose: "request" | "response",
  { requestId, method, target }: SignedRequest,
  fields: string,
): string {
  return JSON.stringify([`handover ${purpose}`, requestId, method, target, fields]);
}
