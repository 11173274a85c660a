import { request } from "undici";
import { createCallOutcome } from "./create_call_outcome.ts";
import { getCallResult } from "./get_call_result.ts";
import type { LoadContext } from "./load_context.ts";
import type { LoadOutcome } from "./load_outcome.ts";
import { readCallAnswer } from "./read_call_answer.ts";
import type { CallAnswer } from "./read_call_answer.ts";

const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 250;
const ID_BYTES = 12;

interface Order {
  readonly key: string;
  readonly body: string;
}

/** Sends an order twice with the same key, each time to any host, and compares the responses. */
export async function sendOrder(context: LoadContext): Promise<LoadOutcome> {
  const startMs = context.clock.readMonotonicMs();
  const id = context.random.nextHex(ID_BYTES);
  const prefix = await context.entry.getKeyPrefix();
  if (prefix === undefined) {
    return createCallOutcome({ kind: "order", result: "refused", durationMs: 0 });
  }
  const order = { key: `${prefix}${id}`, body: JSON.stringify({ order: id }) };
  const first = await sendUntilAnswered(context, order);
  const durationMs = context.clock.readMonotonicMs() - startMs;
  const second = await sendUntilAnswered(context, order);
  const isDoubled = hasOutcome(first) && hasOutcome(second) && first.body !== second.body;
  return createCallOutcome({
    kind: "order",
    result: first === undefined ? "failed" : getCallResult(first.problem),
    durationMs,
    ordersDoubled: isDoubled ? 1 : 0,
    ...(first?.problem === undefined ? {} : { code: first.problem.code }),
  });
}

function hasOutcome(answer: CallAnswer | undefined): answer is CallAnswer {
  return answer !== undefined && answer.problem === undefined;
}

/** Sends an order with its key until it has an outcome or the attempts are used up. */
async function sendUntilAnswered(
  context: LoadContext,
  order: Order,
): Promise<CallAnswer | undefined> {
  let last: CallAnswer | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    try {
      last = await callService(context, order);
    } catch {
      context.entry.clear();
    }
    if (hasOutcome(last)) {
      return last;
    }
    await waitFor(context, RETRY_DELAY_MS);
  }
  return last;
}

async function callService(context: LoadContext, order: Order): Promise<CallAnswer> {
  const { plan, entry } = context;
  const url = await entry.pickUrl();
  const answer = await request(`${url}/v1/services/${plan.service}${plan.orderPath}`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${plan.apiKey}`,
      "content-type": "application/json",
      "idempotency-key": order.key,
    },
    body: order.body,
    headersTimeout: plan.stallMs,
  });
  return readCallAnswer(answer);
}

function waitFor(context: LoadContext, delayMs: number): Promise<void> {
  return new Promise((resolve) => context.clock.startTimer(delayMs, resolve));
}
