import { convertToSnakeCase } from "./convert_to_snake_case.ts";
import type { IniFinding } from "./ini_finding.ts";
import { splitIniLines } from "./split_ini_lines.ts";
import type { IniLine } from "./split_ini_lines.ts";

const UNSAFE_NAMES = new Set(["__proto__", "constructor", "prototype"]);

/**
 * Finds everything in an INI text that a parser would silently drop, merge or reinterpret:
 * duplicate sections and names, lists, nested sections, reserved names, truncated values and lines
 * that are neither a section nor a value.
 */
export function checkIniText(text: string): IniFinding[] {
  const findings: IniFinding[] = [];
  const seen = new Map<string, number>();
  let section = "";
  const reportDuplicate = (key: string, name: string, line: number) => {
    const earlier = seen.get(key);
    if (earlier === undefined) {
      seen.set(key, line);
      return;
    }
    const message = `"${name}" is already set in line ${earlier}`;
    findings.push({ line, name, message, advice: "keep one of the two" });
  };
  for (const entry of splitIniLines(text)) {
    if (entry.kind === "section") {
      section = entry.name;
      reportDuplicate(`[${section}]`, section, entry.lineNumber);
    }
    if (entry.kind === "value") {
      const name = section === "" ? entry.name : `${section}.${entry.name}`;
      reportDuplicate(`${section}]${convertToSnakeCase(entry.name)}`, name, entry.lineNumber);
    }
    findings.push(...checkLine(entry, section));
  }
  return findings;
}

function checkLine(entry: IniLine, section: string): IniFinding[] {
  if (entry.kind === "other") {
    const message = `"${entry.text.slice(0, 80)}" is neither a section nor a value`;
    return [{ line: entry.lineNumber, name: section, message, advice: "write `name = value`" }];
  }
  const name = entry.kind === "value" && section !== "" ? `${section}.${entry.name}` : entry.name;
  const report = (
    message: string,
    advice: string,
  ) => [{ line: entry.lineNumber, name, message, advice }];
  if (entry.name === "" || UNSAFE_NAMES.has(entry.name)) {
    return report(`"${entry.name}" cannot be used as a name`, "choose another name");
  }
  if (entry.kind === "section") {
    return entry.name.includes(".")
      ? report("a dot in a section name would nest sections", "use `-` or `_` in place of the dot")
      : [];
  }
  if (entry.name.endsWith("[]")) {
    return report("lists with `[]` are not supported", "write one value with commas: `x = a, b`");
  }
  return checkValueText(entry.text).flatMap(({ message, advice }) => report(message, advice));
}

function checkValueText(text: string): { message: string; advice: string }[] {
  const quote = text[0];
  if (quote === '"' || quote === "'") {
    return isQuoted(text, quote)
      ? []
      : [{ message: "the quoted value has no closing quote", advice: `end it with ${quote}` }];
  }
  return /[^\s\\][;#]/.test(text)
    ? [{
      message: "the value would be cut at a comment sign",
      advice: "put the value in double quotes, or a space before the comment",
    }]
    : [];
}

function isQuoted(text: string, quote: string): boolean {
  if (text.length < 2 || !text.endsWith(quote)) {
    return false;
  }
  if (quote === "'") {
    return !text.slice(1, -1).includes("'");
  }
  try {
    return typeof JSON.parse(text) === "string";
  } catch {
    return false;
  }
}
