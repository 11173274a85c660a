import { createSystemClock } from "@crocussail/daemon";
import { RESULT_CODES } from "@crocussail/protocol";
import type { OrderEnd, OrderOptions } from "./order_end.ts";
import { sendBooking } from "./send_booking.ts";
import type { BookingAnswer } from "./send_booking.ts";

const MAX_REPEATS = 20;
const REPEAT_MS = 100;
/** Answers that no repeat changes. */
const FINAL_CODES: ReadonlySet<number> = new Set([
  RESULT_CODES.orderOutcomeUnknown.number,
  RESULT_CODES.orderKeyExpired.number,
]);

/** Sends a booking as a careful caller does: the same key again, until an answer is final. */
export async function runBooking(options: OrderOptions): Promise<OrderEnd> {
  const { hosts, maxRepeats = MAX_REPEATS, repeatMs = REPEAT_MS } = options;
  const clock = createSystemClock();
  let code = 0;
  for (let attempt = 0; attempt < maxRepeats; attempt++) {
    const host = hosts[attempt % hosts.length] ?? 0;
    const answer = await sendBooking(options.fleet, host, options);
    const end = answer === undefined ? undefined : findEnd(answer);
    if (end !== undefined) {
      return end;
    }
    code = answer?.code ?? code;
    await new Promise<void>((resolve) => {
      clock.startTimer(repeatMs, resolve);
    });
  }
  return { type: "lost", code, body: "" };
}

function findEnd(answer: BookingAnswer): OrderEnd | undefined {
  const { status, text, code, ran } = answer;
  if (ran === "yes") {
    return { type: "completed", code: code === 0 ? status : code, body: text };
  }
  if (ran === "no") {
    return { type: "refused", code, body: "" };
  }
  return FINAL_CODES.has(code) ? { type: "unknown", code, body: "" } : undefined;
}
