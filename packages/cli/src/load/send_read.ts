import { request } from "undici";
import { createCallOutcome } from "./create_call_outcome.ts";
import { getCallResult } from "./get_call_result.ts";
import type { LoadContext } from "./load_context.ts";
import type { LoadOutcome } from "./load_outcome.ts";
import { readCallAnswer } from "./read_call_answer.ts";

const MAX_RETRIES = 3;

/** Sends one repeatable call of a plain service. */
export async function sendRead(context: LoadContext): Promise<LoadOutcome> {
  const startMs = context.clock.readMonotonicMs();
  let end = await callService(context);
  for (let retry = 0; end.result === "failed" && retry < MAX_RETRIES; retry++) {
    end = await callService(context);
  }
  const durationMs = context.clock.readMonotonicMs() - startMs;
  return createCallOutcome({ kind: "read", durationMs, ...end });
}

async function callService(
  context: LoadContext,
): Promise<Pick<LoadOutcome, "result" | "code">> {
  const { plan, entry } = context;
  try {
    const url = await entry.pickUrl();
    const answer = await request(`${url}/v1/services/${plan.service}${plan.readPath}`, {
      headers: { authorization: `Bearer ${plan.apiKey}` },
      headersTimeout: plan.stallMs,
    });
    const { problem } = await readCallAnswer(answer);
    const result = getCallResult(problem);
    return problem === undefined ? { result } : { result, code: problem.code };
  } catch {
    entry.clear();
    return { result: "failed" };
  }
}
