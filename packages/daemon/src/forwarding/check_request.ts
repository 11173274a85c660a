import type { CallerRequestHead } from "../adapters/deployment_dialect.ts";
import { findRoute } from "../routes/mod.ts";
import type { Route, RouteSettings, RouteTeam } from "../routes/mod.ts";
import type { RefusalCode } from "./refusal_details.ts";

/** A validated request with its route and team. */
export interface ValidatedRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly team: RouteTeam | undefined;
}

/** A request whose head has been received. */
export interface ReceivedHead extends Pick<CallerRequestHead, "requestId" | "teamKey"> {
  /** Path and query. */
  readonly target: string;
  /** Value of the `Host` header. */
  readonly hostName: string | undefined;
  readonly headerBytes: number;
}

/** Finds the route and team of a request, or the code of the reason for refusing it. */
export function checkRequest(
  settings: RouteSettings,
  { requestId, teamKey, target, hostName, headerBytes }: ReceivedHead,
): ValidatedRequest | RefusalCode {
  if (requestId === undefined || hostName === undefined || !target.startsWith("/")) {
    return "invalidRequest";
  }
  if (headerBytes > settings.limits.maxHeaderBytes) {
    return "headersTooLarge";
  }
  const route = findRoute(settings, hostName, target);
  if (route === undefined) {
    return "noRoute";
  }
  const team = teamKey === undefined ? undefined : settings.teams?.get(teamKey);
  if (settings.teams !== undefined && !route.isPublic && team === undefined) {
    return "unknownKey";
  }
  return { requestId, route, team };
}
