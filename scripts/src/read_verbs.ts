import { readFileSync } from "node:fs";

/** Reads the verbs that function names may begin with from the table in docs/VERBS.md. */
export function readVerbs(path: string): ReadonlySet<string> {
  const rows = readFileSync(path, "utf8").matchAll(/^\| ([a-z]+) +\|/gm);
  return new Set([...rows].map((row) => row[1] ?? ""));
}
