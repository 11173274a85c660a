import type { z } from "zod";
import { convertToSnakeCase } from "./convert_to_snake_case.ts";
import { findNearestName } from "./find_nearest_name.ts";
import type { IniFinding } from "./ini_finding.ts";
import { locateIniLine } from "./locate_ini_line.ts";

/** Converts one schema issue about an INI text into findings with lines and advice. */
export function collectIniFindings(text: string, issue: z.core.$ZodIssue): IniFinding[] {
  const path = issue.path.map(String);
  if (issue.code !== "unrecognized_keys") {
    return [{
      line: locateIniLine(text, path),
      name: formatName(path),
      message: issue.message,
      advice: "correct the value",
    }];
  }
  const known = listKnownNames(issue);
  return issue.keys.map((key) => {
    const nearest = findNearestName(key, known);
    return {
      line: locateIniLine(text, [...path, key]),
      name: formatName([...path, key]),
      message: "unknown name",
      advice: nearest === undefined
        ? "remove it"
        : `did you mean "${convertToSnakeCase(nearest)}"?`,
    };
  });
}

function listKnownNames(issue: z.core.$ZodIssue): readonly string[] {
  const shape = (issue as { inst?: { def?: { shape?: Record<string, unknown> } } }).inst?.def
    ?.shape;
  return Object.keys(shape ?? {});
}

function formatName(path: readonly string[]): string {
  return path.map(convertToSnakeCase).join(".");
}
