import type { RandomSource } from "@crocussail/protocol";
import { FORWARDING_LIMITS } from "./constants.ts";

const MIN_SHARE = 0.5; // hosts that wait must not look in step

/** Computes the time until a host's waiting line looks for room again, in a fleet of `hosts`. */
export function computeLineInterval(hosts: number, random: RandomSource): number {
  const meanMs = Math.max(
    FORWARDING_LIMITS.tickMs,
    hosts * FORWARDING_LIMITS.lineIntervalPerHostMs,
  );
  return meanMs * (MIN_SHARE + random.nextFloat());
}
