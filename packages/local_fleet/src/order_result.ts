import type { LocalFleet } from "./create_local_fleet.ts";

/** Result of an order as its caller sees it. */
export interface OrderResult {
  /** `lost`: no final response within the caller's attempts. */
  readonly type: "completed" | "refused" | "unknown" | "lost";
  /** Last result code, or HTTP status of a completed order. */
  readonly code: number;
  /** Response body, when completed; otherwise empty. */
  readonly body: string;
}

/** Options of a booking that is retried until its result is final. */
export interface BookingOptions {
  readonly fleet: LocalFleet;
  readonly key: string;
  /** Body of the booking; `order` identifies it at the service. */
  readonly body: { readonly order: string; readonly fault?: string };
  /** Indexes of the daemons that the attempts go to, in round-robin order. */
  readonly hosts: readonly number[];
  readonly maxAttempts?: number;
  readonly retryIntervalMs?: number;
}
