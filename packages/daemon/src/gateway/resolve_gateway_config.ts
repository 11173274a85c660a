import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { describeIniIssue } from "../common/describe_ini_issue.ts";
import { parseIni } from "../common/parse_ini.ts";
import { gatewayConfigSchema } from "./gateway_config_schema.ts";
import type { GatewayConfig } from "./gateway_config_schema.ts";

/** Validates a gateway's INI configuration and freezes it; errors state file, line and value. */
export function resolveGatewayConfig(
  file: string,
  text: string,
): Either<ResultError, Readonly<GatewayConfig>> {
  const parsed = gatewayConfigSchema.safeParse(parseIni(text, { convertSections: true }));
  if (parsed.success) {
    return Right(Object.freeze(parsed.data));
  }
  const lines = parsed.error.issues.map((issue) =>
    describeIniIssue({ file, text, schema: gatewayConfigSchema }, issue)
  );
  return Left(createResultError("invalidSettingsFile", lines.join("\n")));
}
