import type { MemberStatus } from "./member_status.ts";
import type { MemberUpdate } from "./member_update.ts";
import type { Notice } from "./membership.ts";

/** What two daemons tell each other in a probe and in its reply. */
export interface Heartbeat {
  /** The sender's own record. */
  readonly incarnation: number;
  readonly counter: number;
  readonly status: MemberStatus;
  /** The sender distrusts its view after a pause. */
  readonly isWoken: boolean;
  /** Hash of the sender's whole view. */
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  readonly notices: readonly Notice[];
}
