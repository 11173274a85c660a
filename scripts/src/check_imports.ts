import { dirname, join } from "node:path";
import type { LintFinding } from "./lint_finding.ts";

const IMPORT_SOURCE = /^(?:import|export) .*from "([^"]+)"|^\} from "([^"]+)"/;
const SLICE = /^packages\/daemon\/src\/([a-z_]+)\//;
/** Directories of the daemon whose files any slice may import directly. */
const SHARED_DIRECTORIES = new Set(["adapters", "common"]);
const DECISION_FILE = /\/(?:decide_[a-z_]+|[a-z_]+_state)\.ts$/;
const IO_IMPORT =
  /^(?:node:(?:net|http|https|fs|tls|dgram|child_process)|ws|undici|fastify|hot-shots|consola)$|\/adapters\//;

/**
 * Checks import boundaries: slices import each other through `mod.ts`, decision modules import no
 * I/O.
 */
export function checkImports(path: string, lines: readonly string[]): LintFinding[] {
  return lines.flatMap((line, index) => {
    const match = IMPORT_SOURCE.exec(line);
    const source = match?.[1] ?? match?.[2];
    if (source === undefined) {
      return [];
    }
    const message = findViolation(path, source);
    return message === undefined ? [] : [{ path, line: index + 1, message }];
  });
}

function findViolation(path: string, source: string): string | undefined {
  if (source === "node:child_process" && !path.startsWith("playground/")) {
    return "a process starts no process outside playground/";
  }
  if (DECISION_FILE.test(path) && IO_IMPORT.test(source) && !source.endsWith("_schema.ts")) {
    return `decision module imports I/O from "${source}"`;
  }
  const slice = SLICE.exec(path)?.[1];
  if (slice === undefined || !source.startsWith(".")) {
    return undefined;
  }
  const target = SLICE.exec(join(dirname(path), source))?.[1];
  if (target === undefined || target === slice || SHARED_DIRECTORIES.has(target)) {
    return undefined;
  }
  return source.endsWith("/mod.ts")
    ? undefined
    : `slice "${slice}" imports an inner file of "${target}"; import its mod.ts`;
}
