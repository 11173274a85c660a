/** Limits on the attempts of one request. */
export const RETRY_LIMITS = {
  /** Maximum attempts that were refused or failed to connect; neither executes the request. */
  maxUnexecutedAttempts: 4,
  /** Minimum time before the deadline for another attempt, in milliseconds. */
  minLeftMs: 30,
} as const;
