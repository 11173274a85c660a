import { createSystemClock } from "@crocussail/daemon";
import { RESULT_CODES } from "@crocussail/protocol";
import type { BookingOptions, OrderResult } from "./order_result.ts";
import { sendBooking } from "./send_booking.ts";
import type { BookingResponse } from "./send_booking.ts";

const MAX_ATTEMPTS = 20;
const RETRY_INTERVAL_MS = 100;
/** Result codes with an unknown outcome that a retry cannot change. */
const FINAL_CODES: ReadonlySet<number> = new Set([
  RESULT_CODES.orderOutcomeUnknown.number,
  RESULT_CODES.orderKeyExpired.number,
]);

/** Sends a booking and retries it with the same key until its result is final. */
export async function sendBookingWithRetries(options: BookingOptions): Promise<OrderResult> {
  const { hosts, maxAttempts = MAX_ATTEMPTS, retryIntervalMs = RETRY_INTERVAL_MS } = options;
  const clock = createSystemClock();
  let code = 0;
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const host = hosts[attempt % hosts.length] ?? 0;
    const answer = await sendBooking(options.fleet, host, options);
    const end = answer === undefined ? undefined : findFinalResult(answer);
    if (end !== undefined) {
      return end;
    }
    code = answer?.code ?? code;
    await new Promise<void>((resolve) => {
      clock.startTimer(retryIntervalMs, resolve);
    });
  }
  return { type: "lost", code, body: "" };
}

function findFinalResult(answer: BookingResponse): OrderResult | undefined {
  const { status, text, code, ran } = answer;
  if (ran === "yes") {
    return { type: "completed", code: code === 0 ? status : code, body: text };
  }
  if (ran === "no") {
    return { type: "refused", code, body: "" };
  }
  return FINAL_CODES.has(code) ? { type: "unknown", code, body: "" } : undefined;
}
