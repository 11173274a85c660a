/** Complete events of the received bytes, and the remaining bytes of an incomplete event. */
export interface SplitEvents {
  readonly events: readonly Uint8Array[];
  readonly remaining: Uint8Array;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits bytes of a `text/event-stream` after each blank line; all bytes are kept unchanged. */
export function splitEvents(remaining: Uint8Array, chunk: Uint8Array): SplitEvents {
  const bytes = remaining.length === 0 ? chunk : Buffer.concat([remaining, chunk]);
  const events: Uint8Array[] = [];
  let start = 0;
  let lineStart = 0;
  for (let index = 0; index < bytes.length; index++) {
    if (bytes[index] !== LINE_FEED) {
      continue;
    }
    const isBlank = index === lineStart ||
      (index === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank) {
      events.push(bytes.subarray(start, index + 1));
      start = index + 1;
    }
    lineStart = index + 1;
  }
  return { events, remaining: bytes.subarray(start) };
}
