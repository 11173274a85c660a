import type { Route } from "./route.ts";
import type { RouteSettings } from "./route_settings.ts";

/** Finds the route of `hostName` with the longest prefix that matches the path of `target`. */
export function findRoute(
  settings: Pick<RouteSettings, "routes">,
  hostName: string,
  target: string,
): Route | undefined {
  const routes = settings.routes.get(hostName.toLowerCase());
  if (routes === undefined) {
    return undefined;
  }
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
    const route = routes.get(path.slice(0, end + 1));
    if (route !== undefined) {
      return route;
    }
    if (end === 0) {
      return undefined;
    }
  }
  return undefined;
}
