import type { Clock, Timer } from "@crocussail/protocol";
import type { DeploymentDialect, UpstreamSignals } from "../adapters/deployment_dialect.ts";
import type {
  OpenUpstreamExchange,
  UpstreamExchangeRequest,
} from "../adapters/upstream_exchange.ts";
import type { Upstream } from "../upstreams/mod.ts";
import { GATEWAY_LIMITS } from "./constants.ts";

/** Options of {@link createObservedExchange}. */
export interface ObservedExchangeOptions {
  readonly openExchange: OpenUpstreamExchange;
  readonly dialect: Pick<DeploymentDialect, "decodeSignals">;
  /** Finds the upstream that a request is sent to. */
  readonly findUpstream: (
    request: Pick<UpstreamExchangeRequest, "address" | "upstreamId">,
  ) => Upstream | undefined;
  readonly clock: Pick<Clock, "readMonotonicMs" | "startTimer">;
  /** Called when a request is sent to a known upstream. */
  readonly recordRequest: (upstream: Upstream) => void;
  /** Receives the signals of a response and the monotonic time at which its request was sent. */
  readonly recordSignals: (upstream: Upstream, signals: UpstreamSignals, sentAtMs: number) => void;
  /** Called when a request is given up before the head of its response. */
  readonly recordUnread: () => void;
  /** Called with whether the upstream has responded, and when its request was sent. */
  readonly recordReach: (upstream: Upstream, hasResponded: boolean, sentAtMs: number) => void;
}

/**
 * Wraps an exchange so that each response of an upstream, to whatever request, is read for what the
 * upstream says of itself. A request that is given up after it was sent stays open for a moment,
 * because an upstream that refuses it at its deadline responds a little later. The upstream is the
 * one known when the request is sent: another one may have its address when the response arrives.
 */
export function createObservedExchange(options: ObservedExchangeOptions): OpenUpstreamExchange {
  return (request, handler) => {
    const upstream = options.findUpstream(request);
    const sentAtMs = options.clock.readMonotonicMs();
    let hasHead = false;
    let isGivenUp = false;
    let lateTimer: Timer | undefined;
    if (upstream !== undefined) {
      options.recordRequest(upstream);
    }
    const exchange = options.openExchange(request, {
      receiveHead: (status, statusText, rawHeaders) => {
        const signals = options.dialect.decodeSignals(status, rawHeaders);
        hasHead = true;
        if (upstream !== undefined) {
          options.recordReach(upstream, true, sentAtMs);
          options.recordSignals(upstream, signals, sentAtMs);
        }
        if (isGivenUp) {
          lateTimer?.cancel();
          exchange.abort();
          return;
        }
        handler.receiveHead(status, statusText, signals.headers);
      },
      receiveData: (chunk) => handler.receiveData(chunk),
      end: () => handler.end(),
      fail: (isSent, reason) => {
        if (isGivenUp) {
          lateTimer?.cancel();
          options.recordUnread();
          return;
        }
        if (upstream !== undefined && !hasHead) {
          options.recordReach(upstream, false, sentAtMs);
        }
        handler.fail(isSent, reason);
      },
    });
    return {
      hasSent: () => exchange.hasSent(),
      abort: (mustStop = false) => {
        if (hasHead || !exchange.hasSent() || mustStop) {
          lateTimer?.cancel();
          exchange.abort();
          if (!hasHead && exchange.hasSent()) {
            options.recordUnread();
          }
          return;
        }
        if (isGivenUp) {
          return;
        }
        isGivenUp = true;
        lateTimer = options.clock.startTimer(GATEWAY_LIMITS.lateResponseMs, () => {
          options.recordUnread();
          exchange.abort();
        });
      },
    };
  };
}
