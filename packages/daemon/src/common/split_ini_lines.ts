/**
 * One line of an INI text that is neither blank nor a comment; `text` is the value of a `value` and
 * the whole line of an `other`.
 */
export type IniLine =
  | { readonly kind: "section"; readonly lineNumber: number; readonly name: string }
  | {
    readonly kind: "value";
    readonly lineNumber: number;
    readonly name: string;
    readonly text: string;
  }
  | { readonly kind: "other"; readonly lineNumber: number; readonly text: string };

/** Splits an INI text into sections, values and other lines; omits blank lines and comments. */
export function splitIniLines(text: string): IniLine[] {
  return text.split(/\r?\n/).flatMap((raw, index): IniLine[] => {
    const trimmed = raw.trim();
    if (trimmed === "" || trimmed.startsWith(";") || trimmed.startsWith("#")) {
      return [];
    }
    const lineNumber = index + 1;
    const section = /^\[([^\]]*)\]\s*(?:[;#].*)?$/.exec(trimmed)?.[1];
    if (section !== undefined) {
      return [{ kind: "section", lineNumber, name: section.trim() }];
    }
    const separator = trimmed.indexOf("=");
    if (separator <= 0 || trimmed.startsWith("[")) {
      return [{ kind: "other", lineNumber, text: trimmed }];
    }
    const name = trimmed.slice(0, separator).trim();
    return [{ kind: "value", lineNumber, name, text: trimmed.slice(separator + 1).trim() }];
  });
}
