import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyRequest } from "fastify";
import { createHash } from "node:crypto";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";

const BEARER = "Bearer ";

/** Returns the team to which the API key of the request belongs. */
export function authenticateTeam(
  request: FastifyRequest,
  settings: SettingsView,
): Either<ResultError, TeamSettings> {
  const header = request.headers.authorization ?? "";
  if (!header.startsWith(BEARER)) {
    return Left(createResultError("unauthenticated", "no bearer token in the request"));
  }
  const sha256 = createHash("sha256").update(header.slice(BEARER.length)).digest("hex");
  const name = settings.findTeamByKeyHash(sha256);
  const team = name === undefined ? undefined : settings.getTeam(name);
  return team === undefined
    ? Left(createResultError("unauthenticated", "API key belongs to no team"))
    : Right(team);
}
