import type { z } from "zod";
import { convertToSnakeCase } from "./convert_to_snake_case.ts";
import { findNearestName } from "./find_nearest_name.ts";
import { locateIniLine } from "./locate_ini_line.ts";

/** A named INI text. */
export interface IniSource {
  /** File or settings path, for messages. */
  readonly file: string;
  readonly text: string;
}

/** Renders one schema issue as `file:line: section.name: what was expected`. */
export function describeIniIssue(source: IniSource, issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String);
  if (issue.code !== "unrecognized_keys") {
    const line = locateIniLine(source.text, path);
    return `${source.file}:${line}: ${formatPath(path)}: ${issue.message}`;
  }
  const known = listKnownNames(issue);
  return issue.keys.map((key) => {
    const line = locateIniLine(source.text, [...path, key]);
    const nearest = findNearestName(key, known);
    const hint = nearest === undefined
      ? "remove it"
      : `did you mean "${convertToSnakeCase(nearest)}"?`;
    return `${source.file}:${line}: ${formatPath([...path, key])}: unknown name; ${hint}`;
  }).join("\n");
}

function listKnownNames(issue: z.core.$ZodIssue): readonly string[] {
  const shape = (issue as { inst?: { def?: { shape?: Record<string, unknown> } } }).inst?.def
    ?.shape;
  return Object.keys(shape ?? {});
}

function formatPath(path: readonly string[]): string {
  return path.map(convertToSnakeCase).join(".");
}
