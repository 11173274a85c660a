import type { PendingPermit, PermitResult } from "../upstream_limits/mod.ts";
import { getPauseMs } from "../upstreams/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Options of {@link claimPermit}. */
export interface PermitOptions {
  readonly upstream: Upstream;
  /** Priority; the lowest number is first. */
  readonly priority: number;
  /** Time for which it may wait behind other requests, in milliseconds. */
  readonly waitMs: number;
  /** Time for which it may wait in one of the first places, in milliseconds. */
  readonly patientMs: number;
  /** Receives the pending request, so that it can be cancelled; it is then refused. */
  readonly receivePending?: (pending: PendingPermit) => void;
}

/**
 * Claims the permit that anything sent to a limited upstream needs; resolves at once if the
 * upstream names no limit. Refused if the upstream asks for a pause by the time of the permit.
 */
export async function claimPermit(
  context: Pick<ForwardingContext, "limits" | "upstreams" | "clock">,
  { upstream, receivePending, ...request }: PermitOptions,
): Promise<PermitResult> {
  if (context.limits.getLimit(upstream.record) === undefined) {
    return { type: "granted" };
  }
  const result = await new Promise<PermitResult>((resolve) => {
    const pending = context.limits.requestPermit(upstream.record, request, resolve);
    receivePending?.(pending);
  });
  const pauseMs = getPauseMs(
    context.upstreams,
    upstream.record,
    context.clock.readMonotonicMs(),
  );
  return result.type === "granted" && pauseMs > 0
    ? { type: "refused", freeInMs: pauseMs, retryAfterMs: pauseMs }
    : result;
}
