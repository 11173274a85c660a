import { convertToSnakeCase } from "./convert_to_snake_case.ts";

/**
 * Finds the 1-based line of an INI text that sets the value at `path` (section and name in camel
 * case), the line of its section when the value is absent, or line 1.
 */
export function locateIniLine(text: string, path: readonly string[]): number {
  const wanted = path.map((part) => convertToSnakeCase(part).toLowerCase());
  const name = wanted.at(-1);
  const section = wanted.length > 1 ? wanted[0] : "";
  let current = "";
  let sectionLine = 1;
  for (const [index, line] of text.split("\n").entries()) {
    const header = /^\s*\[([^\]]+)\]/.exec(line)?.[1];
    if (header !== undefined) {
      current = header.trim().toLowerCase();
      sectionLine = current === section || current === name ? index + 1 : sectionLine;
      continue;
    }
    const key = /^\s*([^=;#\s]+)\s*(?:=|$)/.exec(line)?.[1]?.toLowerCase();
    if (key === name && current === section) {
      return index + 1;
    }
  }
  return sectionLine;
}
