import type { z } from "zod";
import { convertToSnakeCase } from "./convert_to_snake_case.ts";
import { findNearestName } from "./find_nearest_name.ts";
import type { IniFinding } from "./ini_finding.ts";
import { listSchemaNames } from "./list_schema_names.ts";
import { locateIniLine } from "./locate_ini_line.ts";

/** An INI text and the schema against which it was validated. */
export interface IniFindingSource {
  readonly text: string;
  /** Supplies the known names for the advice on an unknown name. */
  readonly schema?: z.ZodType;
}

/** Converts one schema issue of an INI text into findings with line numbers and advice. */
export function collectIniFindings(source: IniFindingSource, issue: z.core.$ZodIssue) {
  if (issue.code === "unrecognized_keys") {
    const known = source.schema === undefined ? [] : listSchemaNames(source.schema, issue.path);
    return issue.keys.map((key) =>
      buildFinding(source, [...issue.path, key], "unknown name", describeNameAdvice(key, known))
    );
  }
  const isMissing = issue.code === "invalid_type" && issue.message.endsWith("received undefined");
  if (!isMissing) {
    return [buildFinding(source, issue.path, issue.message, "")];
  }
  const subject = issue.expected === "object" ? "section" : "value";
  return [buildFinding(source, issue.path, `${subject} is missing`, "add it")];
}

function buildFinding(
  source: IniFindingSource,
  path: readonly PropertyKey[],
  message: string,
  advice: string,
): IniFinding {
  const parts = path.map(String);
  const name = parts.map(convertToSnakeCase).join(".");
  return { line: locateIniLine(source.text, parts), name, message, advice };
}

function describeNameAdvice(name: string, known: readonly string[]): string {
  if (known.length === 0) {
    return "remove it";
  }
  const nearest = findNearestName(name, known);
  return nearest === undefined
    ? `known names are ${known.map(convertToSnakeCase).join(", ")}`
    : `did you mean "${convertToSnakeCase(nearest)}"?`;
}
