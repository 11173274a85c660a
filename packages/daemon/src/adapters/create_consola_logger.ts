import { EVENT_CATALOGUE } from "@crocussail/protocol";
import type { Clock, EventName, Logger } from "@crocussail/protocol";
import { createConsola } from "consola";
import process from "node:process";

/** Options of {@link createConsolaLogger}. */
export interface ConsolaLoggerOptions {
  readonly clock: Clock;
  /** Name of this host, written in every line. */
  readonly host: string;
  /** Least severe level that is written, as a consola level number; 3 is info. */
  readonly level?: number;
  /** Areas (ranges of event numbers) whose debug events are written, for example `orders`. */
  readonly debugAreas?: readonly string[];
}

const DEFAULT_LEVEL = 3;
const DEBUG_LEVEL = 4;
/** Areas in the order of their event numbers: one for each thousand, from 1000. */
const AREAS = [
  "general",
  "generations",
  "orders",
  "admission",
  "settings",
  "membership",
  "placement",
];
const EVENTS_PER_AREA = 1_000;

/** Creates a logger of numbered events: human-readable on a terminal, JSON lines otherwise. */
export function createConsolaLogger(options: ConsolaLoggerOptions): Logger {
  const debugAreas = new Set(options.debugAreas ?? []);
  const level = options.level ?? DEFAULT_LEVEL;
  const consola = createConsola({
    level: debugAreas.size > 0 ? Math.max(level, DEBUG_LEVEL) : level,
    ...(process.stderr.isTTY
      ? {}
      : { reporters: [{ log: (entry) => writeJsonLine(entry.args[0]) }] }),
  });
  return {
    writeEvent: (name, fields = {}) => {
      const entry = EVENT_CATALOGUE[name];
      if (entry.level === "debug" && level < DEBUG_LEVEL && !debugAreas.has(findArea(name))) {
        return;
      }
      const time = options.clock.readWallTime().toISOString();
      const head = { time, event: entry.number, name, level: entry.level, host: options.host };
      consola[entry.level]({ ...head, title: entry.title, ...fields });
    },
  };
}

function findArea(name: EventName): string {
  return AREAS[Math.floor(EVENT_CATALOGUE[name].number / EVENTS_PER_AREA) - 1] ?? "general";
}

function writeJsonLine(line: unknown): void {
  process.stderr.write(`${JSON.stringify(line)}\n`);
}
