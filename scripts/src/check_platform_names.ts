import type { LintFinding } from "./lint_finding.ts";
import type { SourceFile } from "./check_source_file.ts";

const QUOTED = /"([^"\n]+)"|'([^'\n]+)'|`([^`\n]+)`/g;

/** Finds string literals that are platform names in a source file outside `platform/`. */
export function checkPlatformNames(
  file: Pick<SourceFile, "path" | "text">,
  names: ReadonlySet<string>,
): LintFinding[] {
  if (file.path.startsWith("platform/")) {
    return [];
  }
  return file.text.split("\n").flatMap((line, index) =>
    [...line.matchAll(QUOTED)]
      .map((match) => (match[1] ?? match[2] ?? match[3] ?? "").toLowerCase())
      .filter((text) => names.has(text))
      .map((name) => ({
        path: file.path,
        line: index + 1,
        message: `"${name}" is a platform name; use it only in platform/`,
      }))
  );
}
