import ini from "ini";

/** Values of one INI text; sections are nested one level, names are in camel case. */
export type IniRecord = Readonly<Record<string, unknown>>;

/** Options of {@link parseIni}. */
export interface IniOptions {
  /** Also converts section names; leave it out where section names are data. */
  readonly convertSections?: boolean;
}

/** Parses INI text and converts the names of values from snake case to camel case. */
export function parseIni(text: string, options: IniOptions = {}): IniRecord {
  const record = convertNames(ini.parse(text));
  if (options.convertSections !== true) {
    return record;
  }
  return Object.fromEntries(
    Object.entries(record).map(([name, value]) => [convertName(name), value]),
  );
}

function convertNames(record: Readonly<Record<string, unknown>>): IniRecord {
  const converted = Object.entries(record).map(([name, value]) =>
    isSection(value) ? [name, convertNames(value)] : [convertName(name), value]
  );
  return Object.fromEntries(converted);
}

function isSection(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function convertName(name: string): string {
  return name.replace(/_([a-z0-9])/g, (_match, letter: string) => letter.toUpperCase());
}
