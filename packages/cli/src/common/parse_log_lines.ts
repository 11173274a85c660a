import { z } from "zod";
import type { LogLine } from "./log_line.ts";

const lineSchema = z.looseObject({
  time: z.string(),
  event: z.number(),
  name: z.string(),
  host: z.string(),
});

/** Parses a host's log; ignores text before the JSON of a line, and lines without JSON. */
export function parseLogLines(text: string): LogLine[] {
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
    return undefined; // a line of another program, or a truncated line
  }
}
