import type { RandomSource } from "@crocussail/protocol";
import type { Route } from "./route.ts";

/** Chooses one of a route's services at random by weight; undefined if every weight is 0. */
export function chooseService(route: Route, random: RandomSource): string | undefined {
  const total = route.services.reduce((sum, share) => sum + share.weight, 0);
  if (total <= 0) {
    return undefined;
  }
  let point = random.nextFloat() * total;
  for (const share of route.services) {
    point -= share.weight;
    if (point < 0) {
      return share.service;
    }
  }
  return route.services.findLast((share) => share.weight > 0)?.service;
}
