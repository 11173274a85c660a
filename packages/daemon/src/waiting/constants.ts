/** Limits of the order of waiting requests. Times are in milliseconds. */
export const WAITING_LIMITS = {
  /** Maximum length of a host's wait queue; requests beyond it are refused. */
  maxQueued: 256,
  /**
   * Width of a class of slack; within one, requests are ordered by their fair share. Finer classes
   * leave nothing for the share to decide, as no two requests have the same slack.
   */
  slackClassMs: 250,
  /** One placement in this many goes to the first request that is past its target. */
  lateTurnInterval: 12,
  /** Maximum time for which a request that fits nowhere reserves room. */
  reserveMs: 2_000,
  /**
   * Maximum share of a service's engines that are reserved at the same time. At 0.25 the largest
   * tenth of the less urgent kind was served less than half as often as all of it, at 2.5 times the
   * room (`bench:waiting`).
   */
  maxReservedShare: 0.5,
  /**
   * Interval at which a host repeats its report while one of its requests is among the first of the
   * fleet, and so the age up to which a report is current. A report needs 10 to 300 ms in a large
   * fleet.
   */
  reportAgeMs: 300,
  /** Maximum requests of other hosts that are kept track of; beyond it the oldest is evicted. */
  maxHeads: 1_024,
  /**
   * A request is refused if it is expected to start later than this multiple of the time left to its
   * target. The estimate is too long where requests before it give up: at 8 hosts and 1.2 times the
   * room, a multiple of 1.25 served 0.837 in target and refused after 0.7 s, 2.5 served 0.869 and
   * refused after 2 s (`bench:waiting`).
   */
  maxStartShare: 2,
  /** Requests of the fleet, in their order, for which reports are repeated. */
  renewedHeads: 8,
  /**
   * By how much longer another host's request must have waited to precede an equally urgent one;
   * above the error of a reported age. At 150 ms several hosts used the same free room.
   */
  clearlyLongerMs: 20,
  /** Age of a report up to which its numbers count for the estimate of a start. */
  countedReportMs: 1_500,
  /**
   * Time over which the rate at which room becomes free is observed; 3 s at 6 engines varied so much
   * that more was refused than had to be.
   */
  rateWindowMs: 6_000,
  /** Minimum time of observation before requests are refused by that rate. */
  minRateMs: 1_000,
  /** Time after which a start weighs a third in the share of urgent requests. */
  urgentShareMs: 8_000,
  /** Maximum share of the room that is taken to go to more urgent requests. */
  maxUrgentShare: 0.9,
  /** Minimum random delay added to the time until room is expected. */
  minRetrySpreadMs: 500,
  /** Random delay added to it, as a share of that time. */
  retrySpreadShare: 0.5,
  /** Maximum time after which a refused caller is told to return. */
  maxRetryAfterMs: 15_000,
  /** Maximum accounts and kinds with a counter; at the limit the oldest is evicted. */
  maxShares: 1_024,
  /** Maximum entries of a report. */
  maxReported: 16,
} as const;
