import { EVENT_CATALOGUE } from "@crocussail/protocol";
import type { Clock, Logger } from "@crocussail/protocol";
import { createConsola } from "consola";
import process from "node:process";

/** Options of {@link createConsolaLogger}. */
export interface ConsolaLoggerOptions {
  readonly clock: Clock;
  /** Name of this host, added to every line. */
  readonly host: string;
  /** Lowest level written; consola's numbers, 3 is info. */
  readonly level?: number;
}

const DEFAULT_LEVEL = 3;

/** Creates a logger of numbered events: lines for people on a terminal, JSON lines otherwise. */
export function createConsolaLogger(options: ConsolaLoggerOptions): Logger {
  const consola = createConsola({
    level: options.level ?? DEFAULT_LEVEL,
    ...(process.stderr.isTTY
      ? {}
      : { reporters: [{ log: (entry) => writeJsonLine(entry.args[0]) }] }),
  });
  return {
    writeEvent: (name, fields = {}) => {
      const { number, level, title } = EVENT_CATALOGUE[name];
      const time = options.clock.readWallTime().toISOString();
      const line = { time, event: number, name, level, host: options.host, title, ...fields };
      consola[level](line);
    },
  };
}

function writeJsonLine(line: unknown): void {
  process.stderr.write(`${JSON.stringify(line)}\n`);
}
