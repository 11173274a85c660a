/** Limits of the permits for requests to upstreams that name a limit. Times are in milliseconds. */
export const PERMIT_LIMITS = {
  /**
   * Requests a second that are permitted at a limit below this one, also 0: the end of a limit is
   * seen only in a response.
   */
  minPerSecond: 0.2,
  /**
   * Time after the last response of a limited upstream in which it is not used while others have
   * room; then one request shows whether its limit still holds.
   */
  confirmMs: 5_000,
  /** Time for which unused permits are kept; one is always kept. */
  keptMs: 500,
  /**
   * Share of its cold rate that the owner of a cold upstream grants. In any second two owners cause
   * 2 + 4/3 rate (1 + d) arrivals, d being the time from a grant to its arrival, of the allowed
   * 1.5 rate + 5.
   */
  coldRateShare: 2 / 3,
  /**
   * Share of the fleet below which a host grants nothing for cold upstreams: it may be cut off, and
   * each of many small parts would keep a permit.
   */
  minColdShare: 0.25,
  /** Unused permits that are kept for a cold upstream. */
  coldKept: 1,
  /**
   * Time between two refills after which none is kept for a cold upstream: its owner checks it each
   * tenth of a second, so it was frozen.
   */
  coldGapMs: 1_000,
  /** Longest cold time that a request for a permit can tell. */
  maxToldColdMs: 60_000,
  /** Time after the end of a cold time over which the callers refused meanwhile return. */
  coldReturnSpreadMs: 1_000,
  /** Protocol version of the builds that know cold times. */
  coldProtocolVersion: 1,
  /**
   * Time after its start in which a host grants nothing: it may not know yet that another one owns
   * the upstream's limit, or what was granted before.
   */
  settleMs: 2_000,
  /** Requests that wait at one owner for permits of one upstream; further ones are refused. */
  maxWaiting: 512,
  /**
   * Requests that may wait to their deadline. Those behind them wait only as long as an answer is
   * worth most, so that under lasting overload the ones that are served are served in time.
   */
  patientPlaces: 2,
  /** Time for which a waiting request keeps its place unless its host requests it again. */
  placeLeaseMs: 1_000,
  /** Interval at which a host repeats a request that its owner has not answered. */
  repeatMs: 40,
  /** Interval at which a host renews the place of a waiting request. */
  renewMs: 250,
  /** Time after which a host stops waiting for the answer of an owner, which may be frozen. */
  answerTimeoutMs: 150,
  /** Time for which a host requests no permit of an owner that has not answered. */
  silentOwnerMs: 250,
  /**
   * Minimum time after which a caller may return when the owner is silent, in which another host
   * takes over; up to twice that, at random.
   */
  silentReturnMs: 1_000,
  /** Time over which refused callers are spread, at least. */
  returnSpreadMs: 10_000,
  /** The same in intervals between two permits; the longer applies. */
  returnSpreadIntervals: 4,
  /** Time for which an owner repeats the answer to the same request, whose first one may be lost. */
  answerMemoryMs: 2_000,
  /** Answers that an owner keeps; at the limit the oldest is dropped. */
  maxAnswers: 2_048,
  /** Time after a response for which a host reports what it says of the limit, or of its end. */
  reportMs: 3_000,
  /** Largest number of limits in a report; the owner of a further one reports it when it may. */
  maxReported: 64,
  /** Interval at which an owner with waiting requests checks that it still is the owner. */
  ownerCheckMs: 100,
  /** Time for which the hosts that may own a limit are cached; owners are ranked again if they changed. */
  ownerCacheMs: 100,
} as const;
