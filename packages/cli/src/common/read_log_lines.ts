import { readFile } from "node:fs/promises";
import type { Readable, Writable } from "node:stream";
import { text as readText } from "node:stream/consumers";
import { parseLogLines } from "./parse_log_lines.ts";
import type { TraceLine } from "./trace_line.ts";

/**
 * Reads the lines of log files, or of standard input for `-` or no file; undefined, with an error that
 * names the file, when one cannot be read.
 */
export async function readLogLines(
  files: readonly string[],
  streams: { readonly stdin: Readable; readonly stderr: Writable },
): Promise<TraceLine[] | undefined> {
  const texts: string[] = [];
  for (const file of files.length === 0 ? ["-"] : files) {
    try {
      texts.push(file === "-" ? await readText(streams.stdin) : await readFile(file, "utf8"));
    } catch (error) {
      streams.stderr.write(`${file}: ${(error as Error).message}; name a log file or -\n`);
      return undefined;
    }
  }
  return texts.flatMap(parseLogLines);
}
