import type { HostId } from "./hash_host.ts";
import type { MemberStatus } from "./member_status.ts";

/** Record of a member as daemons exchange it. */
export interface MemberUpdate {
  readonly id: HostId;
  /** Tag of the member's process; 0 while no process is known. */
  readonly incarnation: number;
  /**
   * Incremented by the member itself to refute a suspicion; orders the records of a host across its
   * processes.
   */
  readonly counter: number;
  readonly status: MemberStatus;
}
