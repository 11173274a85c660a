import { dirname, join } from "node:path";
import type { HouseFinding } from "./house_finding.ts";

const RELATIVE_IMPORT = /^(?:import|export) .*from "(\.[^"]+)"|^\} from "(\.[^"]+)"/;

/** A source file with its text. */
interface SourceFile {
  readonly path: string;
  readonly text: string;
}

/** Finds files that import each other in a circle, types included; one finding for each circle. */
export function findImportCircles(files: readonly SourceFile[]): HouseFinding[] {
  const known = new Set(files.map(({ path }) => path));
  const imports = new Map(files.map((file) => [file.path, listImports(file, known)]));
  const done = new Set<string>();
  const findings: HouseFinding[] = [];
  const visit = (path: string, trail: readonly string[]) => {
    const start = trail.indexOf(path);
    if (start >= 0) {
      const circle = [...trail.slice(start), path];
      findings.push({ path, line: 1, message: `imports in a circle: ${circle.join(" -> ")}` });
      return;
    }
    if (done.has(path)) {
      return;
    }
    imports.get(path)?.forEach((target) => visit(target, [...trail, path]));
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
