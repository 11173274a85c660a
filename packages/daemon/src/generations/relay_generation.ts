import type { ResultCodeName, ResultError } from "@crocussail/protocol";
import type { EngineStream } from "../adapters/engine_client.ts";
import { decideReconnect } from "./decide_reconnect.ts";
import type { RelayEnd, RelayOptions } from "./relay_options.ts";
import { relayStream } from "./relay_stream.ts";
import type { StreamEnd } from "./relay_stream.ts";

interface Link {
  readonly stream?: EngineStream;
  readonly cause: ResultCodeName;
}

/** Relays one generation to its end, reconnecting after link faults. */
export async function relayGeneration(options: RelayOptions): Promise<RelayEnd> {
  const { clock, limits } = options;
  let tokens = options.fromIndex;
  let failures = 0;
  let link: Link = options.stream === undefined
    ? await resumeStream(options, tokens)
    : { stream: options.stream, cause: "upstreamLost" };
  for (;;) {
    const end = await relayLink(options, link, tokens);
    if (end.type !== "broken") {
      return end;
    }
    failures = end.tokens > tokens ? 0 : failures;
    tokens = end.tokens;
    const nowMs = clock.readMonotonicMs();
    const { cause } = link;
    const effect = decideReconnect(
      { cause, failures, nowMs, deadlineMs: options.deadlineMs },
      limits,
    );
    if (effect.type === "stop") {
      return { type: "lost", tokens, cause: { code: cause, reason: effect.reason } };
    }
    failures += 1;
    await waitForDelay(options, effect.delayMs);
    options.noteReconnect(tokens, cause);
    link = await resumeStream(options, tokens);
  }
}

function relayLink(options: RelayOptions, link: Link, tokens: number): Promise<StreamEnd> {
  if (options.isStopped()) {
    link.stream?.close();
    return Promise.resolve({ type: "stopped", tokens });
  }
  return link.stream === undefined
    ? Promise.resolve({ type: "broken", tokens })
    : relayStream(options, link.stream, tokens);
}

async function resumeStream(options: RelayOptions, index: number): Promise<Link> {
  if (options.isStopped()) {
    return { cause: "upstreamLost" };
  }
  const resumed = await options.engine.resumeGeneration(options.url, options.generation, index);
  return resumed.caseOf<Link>({
    Left: (error: ResultError) => ({ cause: error.code }),
    Right: (stream) => ({ stream, cause: "upstreamLost" }),
  });
}

function waitForDelay(options: RelayOptions, delayMs: number): Promise<void> {
  if (delayMs === 0) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = options.clock.startTimer(delayMs, resolve);
    options.setInterrupt(() => {
      timer.cancel();
      resolve();
    });
  });
}
