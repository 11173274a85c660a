import type { Clock, RandomSource } from "@crocussail/protocol";
import type { OpenUpstreamExchange, UpstreamExchange } from "../adapters/upstream_exchange.ts";
import { removeHopByHopHeaders } from "../common/remove_hop_by_hop_headers.ts";
import { verifyText } from "../common/verify_text.ts";
import { chooseHandoverHost } from "./choose_handover_host.ts";
import type { HandoverHost } from "./choose_handover_host.ts";
import { HANDOVER_LIMITS } from "./constants.ts";
import { encodeHandover } from "./encode_handover.ts";
import { HANDOVER_HEADERS } from "./handover_headers.ts";
import type { SignedRequest } from "./handover_fields.ts";
import { renderSignedText } from "./render_signed_text.ts";

/** Options of {@link createHandover}. */
export interface HandoverOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly openExchange: OpenUpstreamExchange;
  readonly fleetKey: string;
  readonly localHost: string;
  /** Lists the other live hosts. */
  readonly listLive: () => readonly HandoverHost[];
  /** Whether this host reaches no upstream of a service. */
  readonly isUnreachable: (service: string) => boolean;
  readonly readSettingsVersion: () => number;
  /** Whether any data centre is evacuated, as hosts of the former build do not know. */
  readonly hasEvacuations: () => boolean;
}

/** A request as its caller sent it. */
export interface HandoverRequest extends SignedRequest {
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array | undefined;
  /** Monotonic time at which its head was received. */
  readonly arrivedAtMs: number;
  readonly isCounted: boolean;
}

/** Receives the response of the other host; the last call is either `end` or `fail`. */
export interface HandoverHandler {
  /** `refusal` is the result code if the other host created the response itself. */
  receiveHead(
    status: number,
    statusText: string,
    rawHeaders: readonly string[],
    refusal: string | undefined,
  ): void;
  receiveData(chunk: Uint8Array): void;
  end(): void;
  /** `isSent` is true if the other host may have received the request. */
  fail(isSent: boolean, reason: string): void;
}

/** Handing requests to hosts that reach upstreams which this host does not reach. */
export interface Handover {
  /**
   * Chooses a host for a request; undefined if this host reaches the service, or none does. With
   * `among`, one of these hosts is chosen whether or not this host reaches the service.
   */
  chooseHost(
    service: string,
    tried: ReadonlySet<string>,
    among?: ReadonlySet<string>,
  ): HandoverHost | undefined;
  /** Sends a request to a host on a connection of its own. */
  open(host: HandoverHost, request: HandoverRequest, handler: HandoverHandler): UpstreamExchange;
}

/** First protocol version whose hosts know of evacuations. */
const EVACUATION_PROTOCOL_VERSION = 1;

/** Creates the handover. */
export function createHandover(options: HandoverOptions): Handover {
  const { clock, fleetKey } = options;
  const unreachableUntilMs = new Map<string, number>();
  return {
    chooseHost: (service, tried, among) => {
      if (among === undefined && !options.isUnreachable(service)) {
        return undefined;
      }
      const nowMs = clock.readMonotonicMs();
      for (const [host, untilMs] of unreachableUntilMs) {
        if (untilMs <= nowMs) {
          unreachableUntilMs.delete(host);
        }
      }
      const live = options.listLive();
      return chooseHandoverHost(live.filter(({ host }) => among?.has(host) ?? true), {
        service,
        settingsVersion: options.readSettingsVersion(),
        minProtocolVersion: options.hasEvacuations() ? EVACUATION_PROTOCOL_VERSION : 0,
        excluded: new Set([...tried, ...unreachableUntilMs.keys()]),
        random: options.random,
      });
    },
    open: (host, request, handler) => {
      const fields = {
        fromHost: options.localHost,
        ageMs: clock.readMonotonicMs() - request.arrivedAtMs,
        isCounted: request.isCounted,
      };
      const exchange = options.openExchange({
        address: host.peerAddress,
        method: request.method,
        target: request.target,
        headers: [
          ...removeHopByHopHeaders(request.rawHeaders, [
            "content-length",
            HANDOVER_HEADERS.request,
          ]),
          HANDOVER_HEADERS.request,
          encodeHandover(fleetKey, request, fields),
        ],
        body: request.body,
        connectTimeoutMs: HANDOVER_LIMITS.connectTimeoutMs,
      }, {
        receiveHead: (status, statusText, rawHeaders) => {
          const signature = findHeader(rawHeaders, HANDOVER_HEADERS.response) ?? "";
          if (!verifyText([fleetKey], renderSignedText("response", request, ""), signature)) {
            exchange.abort();
            handler.fail(true, `response of ${host.host} is not signed by the fleet`);
            return;
          }
          handler.receiveHead(
            status,
            statusText,
            removeHopByHopHeaders(rawHeaders, Object.values(HANDOVER_HEADERS)),
            findHeader(rawHeaders, HANDOVER_HEADERS.refusal),
          );
        },
        receiveData: handler.receiveData,
        end: handler.end,
        fail: (isSent, reason) => {
          if (!isSent) {
            const untilMs = clock.readMonotonicMs() + HANDOVER_LIMITS.unreachableMs;
            unreachableUntilMs.set(host.host, untilMs);
          }
          handler.fail(isSent, reason);
        },
      });
      return exchange;
    },
  };
}

function findHeader(rawHeaders: readonly string[], lowerName: string): string | undefined {
  const index = rawHeaders.findIndex((name, position) =>
    position % 2 === 0 && name.toLowerCase() === lowerName
  );
  return index === -1 ? undefined : rawHeaders[index + 1];
}
