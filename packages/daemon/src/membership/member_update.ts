import type { HostId } from "./hash_host.ts";
import type { MemberStatus } from "./member_status.ts";

/** What one daemon says of a member. */
export interface MemberUpdate {
  readonly id: HostId;
  /** Tag of the member's process; 0 while none has been heard of. */
  readonly incarnation: number;
  /** Raised by the member itself to refute; orders the records of one host across processes. */
  readonly counter: number;
  readonly status: MemberStatus;
}
