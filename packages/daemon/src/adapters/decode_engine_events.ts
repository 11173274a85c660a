import { engineEventSchema } from "./engine_event_schema.ts";
import type { EngineEvent } from "./engine_event_schema.ts";

/** Events decoded from a text, and the incomplete event at its end. */
export interface DecodedEvents {
  readonly events: readonly EngineEvent[];
  readonly remainder: string;
  /** Whether the text contains a malformed event; the events before it are valid. */
  readonly isMalformed: boolean;
}

const SEPARATOR = "\n\n";
const DATA_PREFIX = "data: ";
const COMMENT_PREFIX = ":";

/** Decodes the complete server-sent events at the start of `text`. */
export function decodeEngineEvents(text: string, maxEventLength: number): DecodedEvents {
  const events: EngineEvent[] = [];
  let start = 0;
  for (let end = text.indexOf(SEPARATOR); end !== -1; end = text.indexOf(SEPARATOR, start)) {
    const block = text.slice(start, end);
    start = end + SEPARATOR.length;
    if (block.startsWith(COMMENT_PREFIX)) {
      continue;
    }
    const event = block.length > maxEventLength ? undefined : decodeBlock(block);
    if (event === undefined) {
      return { events, remainder: "", isMalformed: true };
    }
    events.push(event);
  }
  const remainder = start === 0 ? text : text.slice(start);
  return { events, remainder, isMalformed: remainder.length > maxEventLength };
}

function decodeBlock(block: string): EngineEvent | undefined {
  if (!block.startsWith(DATA_PREFIX)) {
    return undefined;
  }
  try {
    return validateEvent(JSON.parse(block.slice(DATA_PREFIX.length)));
  } catch {
    return undefined;
  }
}

/** Accepts a plain token event without the schema: validation costs more than parsing the JSON. */
function validateEvent(value: EngineEvent | null): EngineEvent | undefined {
  if (
    value !== null && typeof value.generation === "string" && typeof value.token === "string" &&
    Number.isSafeInteger(value.index) && value.index >= 0 && value.finish === undefined
  ) {
    return value;
  }
  const parsed = engineEventSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
