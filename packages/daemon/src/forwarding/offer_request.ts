import type { UpstreamExchange } from "../adapters/upstream_exchange.ts";
import { createBoundedBuffer } from "../common/create_bounded_buffer.ts";
import { HANDOVER_LIMITS } from "../handover/mod.ts";
import type { HandoverHost } from "../handover/mod.ts";
import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Options of {@link offerRequest}. */
export interface RequestHandoverOptions {
  /** Whether this host has counted the request in the retry budget. */
  readonly isCounted: boolean;
  /** Names of the hosts to choose from; any that reach the service if this one does not. */
  readonly among?: ReadonlySet<string>;
  /** Receives each exchange, so that it can be aborted when the caller disconnects. */
  readonly receiveExchange: (exchange: Pick<UpstreamExchange, "abort">) => void;
}

/** How the request ended; undefined if no other host has accepted it. */
export type HandoverEnd = string | undefined;

type OfferEnd =
  | { readonly type: "ended"; readonly end: string; readonly status: number }
  /** The host has certainly not executed the request; `answer` responds with its refusal. */
  | { readonly type: "declined"; readonly reason: string; readonly answer?: () => void };

/** Refusals after which another host may still serve the request. */
const HOST_REFUSALS: ReadonlySet<string> = new Set(["noUpstreamLeft", "settingsUnknown"]);
/** The same if the host owns only some of the upstreams; other hosts own the rest. */
const OWNER_REFUSALS: ReadonlySet<string> = new Set([...HOST_REFUSALS, "noRoomInTime"]);

/**
 * Hands a request of which this host has sent nothing to a host that reaches the service, and sends
 * its response to the caller as it arrives. Whatever the other host may have received counts as
 * possibly executed, unless it refuses it. Does nothing if this host reaches the service, or the
 * request has been handed to this host.
 */
export async function offerRequest(
  context: ForwardingContext,
  request: ForwardedRequest,
  options: RequestHandoverOptions,
): Promise<HandoverEnd> {
  if (request.handedOverBy !== undefined) {
    return undefined;
  }
  const tried = new Set<string>();
  let answerRefusal: (() => void) | undefined;
  while (tried.size < HANDOVER_LIMITS.maxHosts && !request.reply.hasEnded()) {
    const host = context.handover.chooseHost(request.service.name, tried, options.among);
    if (host === undefined) {
      break;
    }
    tried.add(host.host);
    const startMs = context.clock.readMonotonicMs();
    context.logger.writeEvent("requestHandedOver", {
      request: request.requestId,
      service: request.service.name,
      to: host.host,
      ageMs: Math.round(startMs - request.arrivedAtMs),
    });
    const offer = await offerToHost(context, request, options, host);
    context.logger.writeEvent("handoverEnded", {
      request: request.requestId,
      to: host.host,
      end: offer.type === "ended" ? offer.end : `declined: ${offer.reason}`,
      status: offer.type === "ended" ? offer.status : 0,
      tookMs: Math.round(context.clock.readMonotonicMs() - startMs),
    });
    const end = offer.type === "ended" ? offer.end : offer.type;
    context.metrics.increment("forwarding.handovers", 1, { end });
    if (offer.type === "ended") {
      return offer.end;
    }
    answerRefusal = offer.answer ?? answerRefusal;
  }
  if (request.reply.hasEnded()) {
    return "callerLeft";
  }
  answerRefusal?.();
  return answerRefusal === undefined ? undefined : "notRun";
}

/** Offers a request to one host; resolves when its response has ended or it has declined. */
function offerToHost(
  { clock, handover, answerBudget }: ForwardingContext,
  request: ForwardedRequest,
  options: RequestHandoverOptions,
  host: HandoverHost,
): Promise<OfferEnd> {
  const { reply } = request;
  return new Promise((resolve) => {
    const buffer = createBoundedBuffer(answerBudget, HANDOVER_LIMITS.maxAnswerBytes);
    let head = { status: 0, statusText: "", rawHeaders: [] as readonly string[] };
    let refusal: string | undefined;
    let body: Uint8Array = new Uint8Array();
    const settle = (offer: OfferEnd) => {
      timer.cancel();
      buffer.take();
      resolve(offer);
    };
    const settleEnded = (end: string) => settle({ type: "ended", end, status: head.status });
    const failUnknown = (end: string, reason: string) => {
      if (reply.hasStarted()) {
        reply.abort();
      } else {
        reply.refuse(end === "timeout" ? "timeout" : "outcomeUnknown", reason);
      }
      settleEnded(end);
    };
    const abort = (end: string, reason: string) => {
      exchange.abort();
      failUnknown(end, reason);
    };
    const leftMs = request.deadlineAtMs - clock.readMonotonicMs();
    const timer = clock.startTimer(
      Math.max(0, leftMs) + HANDOVER_LIMITS.deadlineGraceMs,
      () => abort("timeout", "deadline exceeded"),
    );
    const sendAnswer = () =>
      reply.sendResponse(head.status, head.statusText, head.rawHeaders, body);
    const exchange = handover.open(host, {
      requestId: request.requestId,
      method: request.method,
      target: request.target,
      rawHeaders: request.rawHeaders,
      body: request.body,
      arrivedAtMs: request.arrivedAtMs,
      isCounted: options.isCounted,
    }, {
      receiveHead: (status, statusText, rawHeaders, refusedWith) => {
        head = { status, statusText, rawHeaders };
        refusal = refusedWith;
        if (isStream(request, status) && refusal === undefined) {
          reply.startStream(status, statusText, rawHeaders);
        }
      },
      receiveData: (chunk) => {
        if (reply.hasStarted()) {
          if (!reply.sendChunk(chunk)) {
            abort("callerSlow", "caller reads too slowly");
          }
          return;
        }
        const excess = buffer.add(chunk);
        if (excess !== undefined) {
          abort("unknown", excess);
        }
      },
      end: () => {
        body = buffer.take();
        const isOwner = options.among !== undefined;
        if (refusal !== undefined && (isOwner ? OWNER_REFUSALS : HOST_REFUSALS).has(refusal)) {
          settle({ type: "declined", reason: refusal, answer: sendAnswer });
          return;
        }
        reply.hasStarted() ? reply.endStream() : sendAnswer();
        settleEnded("handedOver");
      },
      fail: (isSent, reason) =>
        isSent ? failUnknown("unknown", reason) : settle({ type: "declined", reason }),
    });
    options.receiveExchange({
      abort: () => {
        exchange.abort();
        settleEnded("callerLeft");
      },
    });
  });
}

function isStream({ route }: ForwardedRequest, status: number): boolean {
  return route.kind === "stream" && status >= 200 && status < 300;
}
