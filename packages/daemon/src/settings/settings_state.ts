import { SETTINGS_SCHEMAS } from "@crocussail/protocol";
import type { SettingsSchemaEntry } from "@crocussail/protocol";
import { describeIniIssue } from "../common/describe_ini_issue.ts";
import { parseIni } from "../common/parse_ini.ts";

/** One path of the settings map. */
export interface SettingsEntry {
  /** Newest revision seen, accepted or not. */
  readonly revision: number;
  /** Checked value in force; absent for a tombstone or before the first accepted value. */
  readonly value?: unknown;
  /** Revision of the value in force. */
  readonly acceptedRevision: number;
  /** Why the newest value was rejected. */
  readonly rejection?: string;
}

/** Settings map by path. */
export type SettingsState = Map<string, SettingsEntry>;

/** A value as read from the service or a peer. */
export interface SettingsUpdate {
  readonly path: string;
  readonly text?: string;
  readonly revision: number;
}

/** Result of one merge. */
export type SettingsMerge = "accepted" | "rejected" | "stale";

/** Merges one published value; an older or equal revision changes nothing. */
export function applySettingsUpdate(state: SettingsState, update: SettingsUpdate): SettingsMerge {
  const current = state.get(update.path);
  if (current !== undefined && current.revision >= update.revision) {
    return "stale";
  }
  const { path, revision, text } = update;
  if (text === undefined) {
    state.set(path, { revision, acceptedRevision: revision });
    return "accepted";
  }
  const parsed = parseSettingsValue(path, text);
  if ("value" in parsed) {
    state.set(path, { revision, acceptedRevision: revision, value: parsed.value });
    return "accepted";
  }
  const kept = current ?? { acceptedRevision: 0 };
  state.set(path, { ...kept, revision, rejection: parsed.rejection });
  return "rejected";
}

function parseSettingsValue(
  path: string,
  text: string,
): { value: unknown } | { rejection: string } {
  const entry = SETTINGS_SCHEMAS.find((candidate) => isMatch(candidate, path));
  if (entry === undefined) {
    return { rejection: `${path}: no such settings path` };
  }
  const parsed = entry.schema.safeParse(parseIni(text));
  if (parsed.success) {
    return { value: parsed.data };
  }
  const lines = parsed.error.issues.map((issue) =>
    describeIniIssue({ file: path, text, schema: entry.schema }, issue)
  );
  return { rejection: lines.join("\n") };
}

function isMatch(entry: SettingsSchemaEntry, path: string): boolean {
  const wanted = entry.pattern.split("/");
  const given = path.split("/");
  return wanted.length === given.length &&
    wanted.every((segment, index) => segment === "*" || segment === given[index]);
}
