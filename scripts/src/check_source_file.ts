import { checkImports } from "./check_imports.ts";
import type { LintFinding } from "./lint_finding.ts";

/** Input of {@link checkSourceFile}. */
export interface SourceFile {
  readonly path: string;
  readonly text: string;
  /** Verbs that function names may begin with. */
  readonly verbs: ReadonlySet<string>;
}

const VALUE_EXPORT = /^export (?:async )?(?:function|class|const|let|default|enum)\b/;
const FUNCTION_NAME = /^(?:export )?(?:async )?function\*? ([A-Za-z0-9_]+)/;
const IMPURE_READ =
  /\b(?:Date\.now\(|performance\.now\(|Math\.random\(|new Date\(\)|randomUUID\(|randomBytes\(|setTimeout\(|setInterval\(|process\.hrtime)/;
const IMPURE_ALLOWED = [
  /\/adapters\//,
  /^bench\//,
  /^playground\//,
  /^scripts\//,
  /^packages\/stand_ins\//,
  /^platform\/src\/stand_ins\//,
  /^packages\/local_fleet\//,
];

/** Checks one source file against the project rules that the linter does not cover. */
export function checkSourceFile(file: SourceFile): LintFinding[] {
  const lines = file.text.split("\n");
  return [
    ...checkExports(file, lines),
    ...checkFunctionNames(file, lines),
    ...checkImpureReads(file, lines),
    ...checkImports(file.path, lines),
  ];
}

function checkExports(file: SourceFile, lines: readonly string[]): LintFinding[] {
  const exported = lines.flatMap((line, index) => VALUE_EXPORT.test(line) ? [index + 1] : []);
  return exported.slice(1).map((line) => ({
    path: file.path,
    line,
    message: "second value export; move it to a file of its own",
  }));
}

function checkFunctionNames(file: SourceFile, lines: readonly string[]): LintFinding[] {
  return lines.flatMap((line, index) => {
    const name = FUNCTION_NAME.exec(line)?.[1];
    if (name === undefined) {
      return [];
    }
    const verb = /^[a-z]+/.exec(name)?.[0] ?? name;
    if (file.verbs.has(verb)) {
      return [];
    }
    const message = `function "${name}" does not begin with a verb of docs/VERBS.md`;
    return [{ path: file.path, line: index + 1, message }];
  });
}

function checkImpureReads(file: SourceFile, lines: readonly string[]): LintFinding[] {
  if (IMPURE_ALLOWED.some((pattern) => pattern.test(file.path)) || file.path.endsWith("_test.ts")) {
    return [];
  }
  return lines.flatMap((line, index) => {
    const isComment = /^\s*(?:\/\/|\*|\/\*)/.test(line);
    if (isComment || !IMPURE_READ.test(line)) {
      return [];
    }
    const message = "direct read of the clock or of randomness; use a Clock or RandomSource";
    return [{ path: file.path, line: index + 1, message }];
  });
}
