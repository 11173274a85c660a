/** Statuses of a member; if counter and incarnation of two records are equal, the higher one wins. */
export const MEMBER_STATUS = {
  /** Accepts duties and callers. */
  alive: 0,
  /** Shuts down gracefully, as it reported itself: accepts no new duties and no new callers. */
  leaving: 1,
  /** Did not reply to a probe; can still refute the suspicion. */
  suspect: 2,
  /** Did not refute the suspicion in time. */
  dead: 3,
  /** Has left, as it reported itself; never inferred. */
  left: 4,
} as const;

/** Status of a member. */
export type MemberStatus = (typeof MEMBER_STATUS)[keyof typeof MEMBER_STATUS];
