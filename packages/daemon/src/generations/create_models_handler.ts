import type { ResultError } from "@crocussail/protocol";
import type { FastifyReply, FastifyRequest } from "fastify";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { listModelNames } from "./list_model_names.ts";

/** Creates the handler of `GET /v1/models`: lists the published models that the team may use. */
export function createModelsHandler(settings: SettingsView) {
  return (request: FastifyRequest, reply: FastifyReply): FastifyReply => {
    const authenticated = authenticateTeam(request, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const team = authenticated.extract() as TeamSettings;
    const data = listModelNames(team, settings)
      .map((id) => ({ id, object: "model", created: 0, owned_by: "crocussail" }));
    return reply.send({ object: "list", data });
  };
}
