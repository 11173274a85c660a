import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { HeadMeter } from "./create_head_meter.ts";
import type { ListenerName } from "./listener_name.ts";

/** A connection to a listener, and what it holds. */
export interface GuardedConnection {
  readonly socket: Socket;
  readonly listener: ListenerName;
  /** What its parser holds of a head that is arriving. */
  readonly head: HeadMeter;
  /** Monotonic time at which it was accepted, or its last request began or ended. */
  activeAtMs: number;
  /** Whether a request has begun on it. */
  hasBegun: boolean;
  /** Requests whose response has not been sent completely, oldest first. */
  readonly open: Map<ServerResponse, IncomingMessage>;
  /** Bytes of these responses that have not been sent, and since when there have been some. */
  unsentBytes: number;
  unsentSinceMs: number;
}
