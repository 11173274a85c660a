/** States of a member; of two records with one counter and incarnation the higher state wins. */
export const MEMBER_STATUS = {
  /** Takes duties and callers. */
  alive: 0,
  /** Ends in good order by its own word: no new duties, no new callers. */
  leaving: 1,
  /** Did not answer; has time to refute. */
  suspect: 2,
  /** Did not refute in time. */
  dead: 3,
  /** Has left by its own word; never inferred. */
  left: 4,
} as const;

/** One of the states of a member. */
export type MemberStatus = (typeof MEMBER_STATUS)[keyof typeof MEMBER_STATUS];
