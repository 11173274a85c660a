import { request } from "undici";
import type { LocalFleet } from "./create_local_fleet.ts";

/** Response of a daemon to one attempt. */
export interface BookingResponse {
  readonly status: number;
  readonly text: string;
  /** Result code of a problem; 0 for a response of the service. */
  readonly code: number;
  readonly ran: string;
}

const PROBLEM_TYPE = "application/problem+json";

/** Sends a booking once to the daemon at an index; undefined when the connection failed. */
export async function sendBooking(
  fleet: LocalFleet,
  host: number,
  call: { readonly key?: string; readonly body: unknown; readonly apiKey?: string },
): Promise<BookingResponse | undefined> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.apiKey ?? fleet.apiKey}`,
    "content-type": "application/json",
  };
  if (call.key !== undefined) {
    headers["idempotency-key"] = call.key;
  }
  try {
    const answer = await request(`${fleet.daemons[host]?.url}/v1/services/stock/bookings`, {
      method: "POST",
      headers,
      body: JSON.stringify(call.body),
    });
    const text = await answer.body.text();
    const isProblem = String(answer.headers["content-type"]).startsWith(PROBLEM_TYPE);
    const problem = isProblem ? JSON.parse(text) as { code: number; ran: string } : undefined;
    const { code = 0, ran = "yes" } = problem ?? {};
    return { status: answer.statusCode, text, code, ran };
  } catch {
    return undefined;
  }
}
