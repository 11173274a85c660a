/** Published routes, services, teams and limits for callers. @module */
export { chooseService } from "./choose_service.ts";
export { findRoute } from "./find_route.ts";
export type { RequestKind, Route, ServiceShare } from "./route.ts";
export type {
  CallerLimits,
  EngineLimits,
  RouteSettings,
  RouteTeam,
  ServiceSettings,
} from "./route_settings.ts";
