import { readdirSync } from "node:fs";
import { join } from "node:path";

/**
 * Returns the compiled test files below the given roots in a stable order, or only those whose path
 * contains one of `filters`.
 */
export function listTestFiles(roots: readonly string[], filters: readonly string[]): string[] {
  return roots
    .flatMap((root) => listDirectory(root))
    .filter((path) => path.includes("/dist/") && path.endsWith("_test.js"))
    .filter((path) => filters.length === 0 || filters.some((filter) => path.includes(filter)))
    .sort();
}

function listDirectory(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    if (entry.name === "node_modules" || entry.isSymbolicLink()) {
      return [];
    }
    const path = join(directory, entry.name);
    return entry.isDirectory() ? listDirectory(path) : [path];
  });
}
