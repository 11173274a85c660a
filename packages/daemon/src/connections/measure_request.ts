import type { IncomingMessage } from "node:http";
import { findHeader } from "../common/find_header.ts";

/** Bytes of a request as it arrives; the body has no length if it is sent in chunks. */
export interface RequestSize {
  readonly headBytes: number;
  readonly bodyBytes: number | undefined;
}

/** Bytes of the request line beside method and target, and of the end of the head. */
const FIXED_BYTES = 14;

/** Computes the usual size of a request's head, and that of its body. */
export function measureRequest(
  { method = "", url = "", rawHeaders }: Pick<IncomingMessage, "method" | "url" | "rawHeaders">,
): RequestSize {
  let headBytes = FIXED_BYTES + method.length + url.length;
  let isChunked = false;
  rawHeaders.forEach((text, index) => {
    headBytes += text.length + 2; // a colon and a space, or a line end
    isChunked ||= index % 2 === 0 && text.toLowerCase() === "transfer-encoding";
  });
  const length = Number(findHeader(rawHeaders, "content-length") ?? 0);
  return { headBytes, bodyBytes: isChunked ? undefined : length };
}
