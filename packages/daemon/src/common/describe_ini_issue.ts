import type { z } from "zod";
import { collectIniFindings } from "./collect_ini_findings.ts";

/** A named INI text. */
export interface IniSource {
  /** File or settings path, for messages. */
  readonly file: string;
  readonly text: string;
}

/** Renders one schema issue as `file:line: section.name: what was expected`. */
export function describeIniIssue(source: IniSource, issue: z.core.$ZodIssue): string {
  return collectIniFindings(source.text, issue)
    .map(({ line, name, message, advice }) =>
      issue.code === "unrecognized_keys"
        ? `${source.file}:${line}: ${name}: ${message}; ${advice}`
        : `${source.file}:${line}: ${name}: ${message}`
    )
    .join("\n");
}
