import type { BodyFraming } from "./body_framing.ts";

/** Finds how a message with these headers, names and values alternating, frames its body. */
export function findBodyFraming(rawHeaders: readonly string[]): BodyFraming {
  const names = new Set(
    rawHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase()),
  );
  if (names.has("transfer-encoding")) {
    return "chunks";
  }
  return names.has("content-length") ? "length" : "connection";
}
