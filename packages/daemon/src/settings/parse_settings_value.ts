import { SETTINGS_SCHEMAS } from "@crocussail/protocol";
import type { SettingsSchemaEntry } from "@crocussail/protocol";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { checkIniText } from "../common/check_ini_text.ts";
import { collectIniFindings } from "../common/collect_ini_findings.ts";
import { parseIni } from "../common/parse_ini.ts";
import { SETTINGS_LIMITS } from "./constants.ts";
import type { SettingsFinding } from "./settings_finding.ts";

const SEGMENT = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const KNOWN_PATHS = SETTINGS_SCHEMAS.map((entry) => entry.pattern).join(", ");

/**
 * Parses one published value with the schema of its path. The result depends only on the path and
 * the text, so all daemons accept or reject the same values.
 */
export function parseSettingsValue(
  path: string,
  text: string,
): Either<readonly SettingsFinding[], unknown> {
  const reject = (message: string, advice: string) =>
    Left([{ path, line: 1, name: "", message, advice }]);
  const entry = SETTINGS_SCHEMAS.find((candidate) => isMatch(candidate, path));
  if (entry === undefined) {
    return reject("no such settings path", `use one of ${KNOWN_PATHS}`);
  }
  if (!path.split("/").every((segment) => SEGMENT.test(segment))) {
    return reject(
      "a segment of the path is not a valid name: wrong character or length",
      "use 1 to 128 letters, digits, `.`, `_` and `-`, starting with a letter or digit",
    );
  }
  const bytes = Buffer.byteLength(text);
  if (bytes > SETTINGS_LIMITS.maxValueBytes) {
    return reject(
      `the value has ${bytes} bytes; the limit is ${SETTINGS_LIMITS.maxValueBytes}`,
      "shorten the value",
    );
  }
  const findings = checkIniText(text);
  if (findings.length > 0) {
    return Left(findings.map((finding) => ({ path, ...finding })));
  }
  const parsed = entry.schema.safeParse(parseIni(text));
  return parsed.success ? Right(parsed.data) : Left(
    parsed.error.issues
      .flatMap((issue) => collectIniFindings({ text, schema: entry.schema }, issue))
      .map((finding) => ({ path, ...finding, advice: finding.advice || "correct the value" })),
  );
}

function isMatch(entry: SettingsSchemaEntry, path: string): boolean {
  const wanted = entry.pattern.split("/");
  const given = path.split("/");
  return wanted.length === given.length &&
    wanted.every((segment, index) => segment === "*" || segment === given[index]);
}
