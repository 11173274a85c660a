import { z } from "zod";
import type { TraceLine } from "./trace_line.ts";

const lineSchema = z.looseObject({
  time: z.string(),
  event: z.number(),
  name: z.string(),
  host: z.string(),
});

/** Reads a host's log; text before a line's JSON, and lines without JSON, are passed over. */
export function parseLogLines(text: string): TraceLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : lineSchema.safeParse(parseJson(line.slice(start)));
    if (parsed?.success !== true) {
      return [];
    }
    const { time, host, event, name, level: _level, ...fields } = parsed.data;
    return [{ time, host, event, name, fields }];
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined; // a line of another program, or one that was cut
  }
}
