import { readdirSync } from "node:fs";
import { join } from "node:path";

const SKIPPED_DIRECTORIES = new Set(["dist", "node_modules"]);

/** Returns the TypeScript sources below the given roots in a stable order. */
export function listSourceFiles(roots: readonly string[]): string[] {
  return roots.flatMap((root) => listDirectory(root)).sort();
}

function listDirectory(directory: string): string[] {
  return readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) {
      return SKIPPED_DIRECTORIES.has(entry.name) ? [] : listDirectory(path);
    }
    return entry.name.endsWith(".ts") ? [path] : [];
  });
}
