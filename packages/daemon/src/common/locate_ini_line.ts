import { convertToSnakeCase } from "./convert_to_snake_case.ts";

/**
 * Finds the 1-based line of an INI text that sets the value at `path`: section and name in camel
 * case, or one of them alone. If the value is absent, returns the line of its section, or else 1.
 */
export function locateIniLine(text: string, path: readonly string[]): number {
  const snakeCasePath = path.map((part) => convertToSnakeCase(part).toLowerCase());
  const name = snakeCasePath.at(-1);
  const section = snakeCasePath.length > 1 ? snakeCasePath[0] : "";
  let currentSection = "";
  let sectionLine = 1;
  for (const [index, line] of text.split("\n").entries()) {
    const header = /^\s*\[([^\]]+)\]/.exec(line)?.[1];
    if (header !== undefined) {
      currentSection = header.trim().toLowerCase();
      sectionLine = currentSection === section || currentSection === name ? index + 1 : sectionLine;
      continue;
    }
    const key = /^\s*([^=;#\s]+)\s*(?:=|$)/.exec(line)?.[1]?.toLowerCase();
    if (key === name && currentSection === section) {
      return index + 1;
    }
  }
  return sectionLine;
}
