import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { describeIniIssue } from "../common/describe_ini_issue.ts";
import { parseIni } from "../common/parse_ini.ts";
import { daemonConfigSchema } from "./daemon_config_schema.ts";
import type { ResolvedDaemonConfig } from "./resolved_daemon_config.ts";

/** Options of {@link resolveDaemonConfig}. */
export interface DaemonConfigSource {
  /** File name, used in error messages. */
  readonly file: string;
  /** INI text. */
  readonly text: string;
}

/** Parses and validates a daemon's settings file; freezes the result. */
export function resolveDaemonConfig(
  source: DaemonConfigSource,
): Either<ResultError, ResolvedDaemonConfig> {
  const parsed = daemonConfigSchema.safeParse(parseIni(source.text, { convertSections: true }));
  if (!parsed.success) {
    const lines = parsed.error.issues.map((issue) =>
      describeIniIssue({ ...source, schema: daemonConfigSchema }, issue)
    );
    return Left(createResultError("invalidSettingsFile", lines.join("\n")));
  }
  const { key, previousKey } = parsed.data.fleet;
  const fleetKeys = previousKey === undefined ? [key] as const : [key, previousKey] as const;
  return Right(
    Object.freeze({ ...parsed.data, fleetKeys: Object.freeze([...fleetKeys]) as [string] }),
  );
}
