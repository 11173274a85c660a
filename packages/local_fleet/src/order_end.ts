import type { LocalFleet } from "./create_local_fleet.ts";

/** How an order ended for its caller. */
export interface OrderEnd {
  /** `lost`: no final answer within the caller's repeats. */
  readonly type: "completed" | "refused" | "unknown" | "lost";
  /** Last result code, or HTTP status of a completed order. */
  readonly code: number;
  /** Answer of the service, when completed. */
  readonly body: string;
}

/** Options of an order sent by {@link runBooking}. */
export interface OrderOptions {
  readonly fleet: LocalFleet;
  readonly key: string;
  /** Body of the booking; `order` names it at the service. */
  readonly body: { readonly order: string; readonly fault?: string };
  /** Indexes of the daemons to which each attempt goes, in turn. */
  readonly hosts: readonly number[];
  readonly maxRepeats?: number;
  readonly repeatMs?: number;
}
