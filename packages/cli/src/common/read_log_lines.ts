import { readFile } from "node:fs/promises";
import type { Readable, Writable } from "node:stream";
import { text as readText } from "node:stream/consumers";
import { parseLogLines } from "./parse_log_lines.ts";
import type { LogLine } from "./log_line.ts";

/**
 * Reads the lines of log files; `-` or an empty list means standard input. If a file cannot be
 * read, writes an error that names it and returns undefined.
 */
export async function readLogLines(
  files: readonly string[],
  streams: { readonly stdin: Readable; readonly stderr: Writable },
): Promise<LogLine[] | undefined> {
  const texts: string[] = [];
  for (const file of files.length === 0 ? ["-"] : files) {
    try {
      texts.push(file === "-" ? await readText(streams.stdin) : await readFile(file, "utf8"));
    } catch (error) {
      streams.stderr.write(`${file}: ${(error as Error).message}; pass a log file or -\n`);
      return undefined;
    }
  }
  return texts.flatMap(parseLogLines);
}
