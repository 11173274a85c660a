import { problemSchema } from "@crocussail/protocol";
import type { Problem } from "@crocussail/protocol";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { readEventStream } from "../common/read_event_stream.ts";
import { applyTokenId } from "./apply_token_id.ts";
import { getCallResult } from "./get_call_result.ts";
import type { LoadContext } from "./load_context.ts";
import type { LoadOutcome } from "./load_outcome.ts";
import type { TokenTally } from "./token_tally.ts";

/**
 * Maximum number of retries. A retry resumes the stream if a token has arrived, and otherwise sends
 * a new request.
 */
const MAX_RETRIES = 5;

interface ChatProgress {
  readonly tally: TokenTally;
  readonly gapsMs: number[];
  lastTokenAtMs?: number;
  firstMs?: number;
  resumes: number;
  lastId?: string;
}

type AttemptEnd = "complete" | "broken" | Problem;

/** Sends one generation, resumes it after an interruption, and checks every token. */
export async function sendChat(context: LoadContext): Promise<LoadOutcome> {
  const { clock, plan, random } = context;
  const startMs = clock.readMonotonicMs();
  const progress: ChatProgress = {
    tally: { nextIndex: 0, tokens: 0, lost: 0, doubled: 0, outOfOrder: 0, foreign: 0 },
    gapsMs: [],
    resumes: 0,
  };
  const dropAfter = random.nextFloat() < plan.resumeShare ? 1 + random.nextInteger(8) : undefined;
  let url = await context.entry.pickUrl();
  let end = await runAttempt(context, { url, progress, startMs, dropAfter });
  for (let retry = 0; end === "broken" && retry < MAX_RETRIES; retry++) {
    progress.resumes += progress.lastId === undefined ? 0 : 1;
    context.entry.clear();
    url = await context.entry.pickUrl([url]);
    end = await runAttempt(context, { url, progress, startMs, dropAfter: undefined });
  }
  return createOutcome(context, progress, end, startMs);
}

interface AttemptOptions {
  readonly url: string;
  readonly progress: ChatProgress;
  readonly startMs: number;
  /** Tokens after which the connection is dropped on purpose. */
  readonly dropAfter: number | undefined;
}

async function runAttempt(context: LoadContext, options: AttemptOptions): Promise<AttemptEnd> {
  try {
    const answer = await openStream(context, options);
    if (answer.statusCode !== 200) {
      return problemSchema.parse(await answer.body.json());
    }
    return await readTokens(context, answer, options);
  } catch {
    return "broken";
  }
}

function openStream(
  context: LoadContext,
  { url, progress }: AttemptOptions,
): Promise<Dispatcher.ResponseData> {
  const { plan } = context;
  const authorization = `Bearer ${plan.apiKey}`;
  if (progress.lastId !== undefined) {
    const headers = { authorization, "last-event-id": progress.lastId };
    return request(`${url}/v1/streams/resume`, { headers, bodyTimeout: plan.stallMs });
  }
  return request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization,
      "content-type": "application/json",
      "crocussail-kind": plan.kind,
    },
    body: JSON.stringify({
      model: plan.model,
      messages: [{ role: "user", content: `Load request ${context.random.nextHex(8)}` }],
      max_tokens: plan.maxTokens,
      stream: true,
    }),
    bodyTimeout: plan.stallMs,
  });
}

async function readTokens(
  context: LoadContext,
  answer: Dispatcher.ResponseData,
  options: AttemptOptions,
): Promise<AttemptEnd> {
  const { progress, dropAfter } = options;
  for await (const event of readEventStream(answer.body)) {
    if (event.event === "error") {
      return problemSchema.parse(JSON.parse(event.data));
    }
    if (event.data === "[DONE]") {
      return "complete";
    }
    if (event.id !== undefined) {
      recordToken(context, options, event.id);
    }
    if (dropAfter !== undefined && progress.tally.tokens >= dropAfter) {
      answer.body.destroy();
      return "broken";
    }
  }
  return "broken";
}

function recordToken(
  context: LoadContext,
  { progress, startMs }: AttemptOptions,
  id: string,
): void {
  const nowMs = context.clock.readMonotonicMs();
  applyTokenId(progress.tally, id);
  progress.lastId = id;
  progress.firstMs ??= nowMs - startMs;
  if (progress.lastTokenAtMs !== undefined) {
    progress.gapsMs.push(nowMs - progress.lastTokenAtMs);
  }
  progress.lastTokenAtMs = nowMs;
}

function createOutcome(
  context: LoadContext,
  progress: ChatProgress,
  end: AttemptEnd,
  startMs: number,
): LoadOutcome {
  const { tally } = progress;
  const isShared = tally.stream !== undefined && context.streams.has(tally.stream);
  context.streams.add(tally.stream ?? "");
  return {
    kind: "chat",
    result: getResult(end),
    durationMs: context.clock.readMonotonicMs() - startMs,
    ...(progress.firstMs === undefined ? {} : { firstMs: progress.firstMs }),
    gapsMs: progress.gapsMs,
    tokens: tally.tokens,
    tokensLost: tally.lost,
    tokensDoubled: tally.doubled,
    tokensOutOfOrder: tally.outOfOrder,
    tokensForeign: tally.foreign + (isShared ? tally.tokens : 0),
    resumes: progress.resumes,
    ordersDoubled: 0,
    ...(typeof end === "object" ? { code: end.code } : {}),
  };
}

function getResult(end: AttemptEnd): LoadOutcome["result"] {
  if (end === "broken") {
    return "failed";
  }
  return getCallResult(end === "complete" ? undefined : end);
}
