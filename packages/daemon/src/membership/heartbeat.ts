import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { Notice } from "./membership.ts";

/** Content of a probe and of its reply. */
export interface Heartbeat {
  /** The sender's record of itself, together with `counter` and `status`. */
  readonly incarnation: number;
  readonly counter: number;
  readonly status: MemberStatus;
  /** The sender does not trust its view because its process was paused. */
  readonly isAfterPause: boolean;
  /** Hash of the sender's complete view. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  readonly notices: readonly Notice[];
}
