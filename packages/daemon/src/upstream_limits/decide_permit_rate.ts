import { PERMIT_LIMITS } from "./constants.ts";

/** The rate at which permits for an upstream are granted in a whole fleet. */
export interface PermitRate {
  readonly perSecond: number;
  /** The upstream is cold: hardly any unused permit may be kept. */
  readonly isCold: boolean;
}

/**
 * Decides the rate from the limit that an upstream names and from its cold rate, either of which may
 * be missing; undefined if requests need no permit. Of the cold rate only a share is granted, because
 * two hosts that do not see each other may both grant it.
 */
export function decidePermitRate(
  named: number | undefined,
  coldPerSecond: number | undefined,
): PermitRate | undefined {
  const namedRate = named === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(named, PERMIT_LIMITS.minPerSecond);
  if (coldPerSecond !== undefined) {
    const coldRate = coldPerSecond * PERMIT_LIMITS.coldRateShare;
    return { perSecond: Math.min(namedRate, coldRate), isCold: true };
  }
  return named === undefined ? undefined : { perSecond: namedRate, isCold: false };
}
