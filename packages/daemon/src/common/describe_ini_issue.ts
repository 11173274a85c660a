import type { z } from "zod";
import { convertToSnakeCase } from "./convert_to_snake_case.ts";
import { findNearestName } from "./find_nearest_name.ts";
import { listSchemaNames } from "./list_schema_names.ts";
import { locateIniLine } from "./locate_ini_line.ts";

/** A named INI text and the schema it was checked by. */
export interface IniSource {
  /** File or settings path, for messages. */
  readonly file: string;
  readonly text: string;
  /** Names the known values when one is misspelt. */
  readonly schema?: z.ZodType;
}

/** Renders one schema issue as `file:line: section.name: what was expected`. */
export function describeIniIssue(source: IniSource, issue: z.core.$ZodIssue): string {
  if (issue.code === "unrecognized_keys") {
    const known = source.schema === undefined ? [] : listSchemaNames(source.schema, issue.path);
    return issue.keys
      .map((key) => formatLine(source, [...issue.path, key], describeUnknownName(key, known)))
      .join("\n");
  }
  return formatLine(source, issue.path, describeProblem(issue));
}

function formatLine(source: IniSource, path: readonly PropertyKey[], problem: string): string {
  const parts = path.map(String);
  const line = locateIniLine(source.text, parts);
  return `${source.file}:${line}: ${parts.map(convertToSnakeCase).join(".")}: ${problem}`;
}

function describeUnknownName(name: string, known: readonly string[]): string {
  const nearest = findNearestName(name, known);
  const hint = nearest === undefined
    ? `known names are ${known.map(convertToSnakeCase).join(", ")}`
    : `did you mean "${convertToSnakeCase(nearest)}"?`;
  return known.length === 0 ? "unknown name; remove it" : `unknown name; ${hint}`;
}

function describeProblem(issue: z.core.$ZodIssue): string {
  const isMissing = issue.code === "invalid_type" && issue.message.endsWith("received undefined");
  if (!isMissing) {
    return issue.message;
  }
  return issue.expected === "object" ? "section is missing; add it" : "value is missing; add it";
}
