import type { LocalFleet } from "./create_local_fleet.ts";

/** Result of a booking, which is an order at the service `stock`, as its caller sees it. */
export interface OrderResult {
  /** `lost`: no final response within the caller's attempts. */
  readonly type: "completed" | "refused" | "unknown" | "lost";
  /** Last result code, or HTTP status of a completed booking. */
  readonly code: number;
  /** Response body, when completed; otherwise empty. */
  readonly body: string;
}

/** Options of `sendBookingWithRetries`. */
export interface BookingOptions {
  readonly fleet: LocalFleet;
  readonly key: string;
  /** Body of the booking: `order` identifies it, `fault` tells the stand-in service how to fail. */
  readonly body: { readonly order: string; readonly fault?: string };
  /** Indexes of the daemons that the attempts go to, in round-robin order. */
  readonly hosts: readonly number[];
  readonly maxAttempts?: number;
  readonly retryIntervalMs?: number;
}
