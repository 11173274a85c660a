import { createByteCollector } from "../common/create_byte_collector.ts";

/** Splits a `text/event-stream` after each blank line; all bytes are kept unchanged. */
export interface EventSplitter {
  /** Adds received bytes; returns the events that they complete. */
  add(chunk: Uint8Array): readonly Uint8Array[];
  /** Counts the bytes of an incomplete event. */
  countRemaining(): number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Creates a splitter that reads and copies each byte once, however small the chunks are. */
export function createEventSplitter(): EventSplitter {
  let remaining = createByteCollector();
  let lineBytes = 0;
  let isBlankLine = true;
  const completeEvent = (end: Uint8Array) => {
    remaining.add(end);
    const event = remaining.read();
    remaining = createByteCollector();
    return event;
  };
  return {
    add: (chunk) => {
      const events: Uint8Array[] = [];
      let start = 0;
      for (let index = 0; index < chunk.length; index++) {
        const byte = chunk[index];
        if (byte === LINE_FEED) {
          if (isBlankLine) {
            events.push(completeEvent(chunk.subarray(start, index + 1)));
            start = index + 1;
          }
          lineBytes = 0;
          isBlankLine = true;
        } else {
          isBlankLine = lineBytes === 0 && byte === CARRIAGE_RETURN;
          lineBytes++;
        }
      }
      if (start < chunk.length) {
        remaining.add(chunk.subarray(start));
      }
      return events;
    },
    countRemaining: () => remaining.size,
  };
}
