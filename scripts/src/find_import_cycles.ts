import { dirname, join } from "node:path";
import type { LintFinding } from "./lint_finding.ts";

const RELATIVE_IMPORT = /^(?:import|export) .*from "(\.[^"]+)"|^\} from "(\.[^"]+)"/;

/** A source file with its text. */
interface SourceFile {
  readonly path: string;
  readonly text: string;
}

/** Finds import cycles, including imports of types; returns one finding for each cycle. */
export function findImportCycles(files: readonly SourceFile[]): LintFinding[] {
  const known = new Set(files.map(({ path }) => path));
  const imports = new Map(files.map((file) => [file.path, listImports(file, known)]));
  const done = new Set<string>();
  const findings: LintFinding[] = [];
  const visit = (path: string, chain: readonly string[]) => {
    const start = chain.indexOf(path);
    if (start >= 0) {
      const cycle = [...chain.slice(start), path];
      findings.push({ path, line: 1, message: `import cycle: ${cycle.join(" -> ")}` });
      return;
    }
    if (done.has(path)) {
      return;
    }
    imports.get(path)?.forEach((target) => visit(target, [...chain, path]));
    done.add(path);
  };
  files.forEach(({ path }) => visit(path, []));
  return findings;
}

function listImports({ path, text }: SourceFile, known: ReadonlySet<string>): string[] {
  return text.split("\n").flatMap((line) => {
    const match = RELATIVE_IMPORT.exec(line);
    const source = match?.[1] ?? match?.[2];
    const target = source === undefined ? "" : join(dirname(path), source);
    return known.has(target) ? [target] : [];
  });
}
