import type { IncomingMessage } from "node:http";
import { findHeader } from "../common/find_header.ts";
import { signText } from "../common/sign_text.ts";
import { decodeHandover } from "./decode_handover.ts";
import type { HandoverFields } from "./handover_fields.ts";
import { HANDOVER_HEADERS } from "./handover_headers.ts";
import { renderSignedText } from "./render_signed_text.ts";

/** A request that another host has handed to this one. */
export interface AcceptedHandover extends HandoverFields {
  /** Headers of the caller's request. */
  readonly rawHeaders: readonly string[];
  /** Builds the headers of the response; `refusal` is the code of one that this host creates. */
  readonly listResponseHeaders: (refusal: string | undefined) => readonly string[];
}

/** Checks that a host of the fleet has sent a request; undefined if not. */
export function acceptHandover(
  key: string,
  incoming: Pick<IncomingMessage, "rawHeaders" | "method" | "url">,
  requestId: string,
): AcceptedHandover | undefined {
  const request = { requestId, method: incoming.method ?? "GET", target: incoming.url ?? "/" };
  const header = findHeader(incoming.rawHeaders, HANDOVER_HEADERS.request);
  const fields = header !== undefined ? decodeHandover(key, request, header) : undefined;
  if (fields === undefined) {
    return undefined;
  }
  const { rawHeaders } = incoming;
  const signature = signText(key, renderSignedText("response", request, ""));
  return {
    ...fields,
    rawHeaders: rawHeaders.filter((_, index) =>
      rawHeaders[index - index % 2]?.toLowerCase() !== HANDOVER_HEADERS.request
    ),
    listResponseHeaders: (refusal) => [
      HANDOVER_HEADERS.response,
      signature,
      ...(refusal === undefined ? [] : [HANDOVER_HEADERS.refusal, refusal]),
    ],
  };
}
