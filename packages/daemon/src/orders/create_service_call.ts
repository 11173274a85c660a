import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyRequest } from "fastify";
import { Buffer } from "node:buffer";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { authenticateTeam } from "../http/mod.ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { listServiceUrls } from "./list_service_urls.ts";
import type { ServiceCall } from "./service_call.ts";

/** Options of {@link createServiceCall}. */
export interface ServiceCallOptions {
  readonly context: Pick<DaemonContext, "config" | "clock">;
  readonly settings: SettingsView;
}

const NO_UPSTREAM_RETRY_MS = 1_000;

/** Authenticates a caller's request and resolves the service's upstream URLs. */
export function createServiceCall(
  request: FastifyRequest,
  options: ServiceCallOptions,
): Either<ResultError, ServiceCall> {
  const { context, settings } = options;
  return authenticateTeam(request, settings).chain((team) => {
    const { service } = request.params as { service: string };
    const access = team.services[service];
    if (access === undefined) {
      const detail = `team "${team.name}" has no service "${service}"`;
      return Left(createResultError("forbidden", detail));
    }
    const urls = listServiceUrls(settings, service, context.config.host.dataCentre);
    if (urls.length === 0) {
      const error = createResultError("noUpstream", `service "${service}" has no live upstream`, {
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
      });
      return Left(error);
    }
    const deadlineMs = context.clock.readMonotonicMs() + access.deadlineMs;
    return Right(buildServiceCall(request, { team, service, urls, deadlineMs }));
  });
}

function buildServiceCall(
  request: FastifyRequest,
  parts: { team: TeamSettings; service: string; urls: string[]; deadlineMs: number },
): ServiceCall {
  const { service, urls } = parts;
  return {
    ...parts,
    urls: urls.slice(0, ORDER_LIMITS.maxUpstreams),
    requestId: request.id,
    request: {
      method: request.method,
      path: request.url.slice(`/v1/services/${service}`.length),
      headers: { "content-type": request.headers["content-type"] ?? "application/json" },
      body: request.body instanceof Buffer ? request.body : Buffer.alloc(0),
      timeoutMs: parts.team.services[service]?.deadlineMs ?? 0,
    },
  };
}
