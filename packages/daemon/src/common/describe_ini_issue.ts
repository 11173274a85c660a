import type { z } from "zod";
import { collectIniFindings } from "./collect_ini_findings.ts";

/** A named INI text and the schema against which it was validated. */
export interface IniSource {
  /** File or settings path, for messages. */
  readonly file: string;
  readonly text: string;
  /** Supplies the known names for the advice on an unknown name. */
  readonly schema?: z.ZodType;
}

/** Renders one schema issue as `file:line: section.name: message; advice`. */
export function describeIniIssue(source: IniSource, issue: z.core.$ZodIssue): string {
  return collectIniFindings(source, issue)
    .map(({ line, name, message, advice }) =>
      [`${source.file}:${line}: ${name}: ${message}`, advice].filter((part) => part !== "").join(
        "; ",
      )
    )
    .join("\n");
}
