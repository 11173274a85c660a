import { isPastLastCall } from "../evacuation/mod.ts";
import type { Upstream } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Whether an upstream may be called about a KV cache: in an evacuated data centre only for some time. */
export function isCallable(
  context: Pick<ForwardingContext, "upstreams" | "clock">,
  upstream: Upstream | undefined,
): boolean {
  const learntAtMs = context.upstreams.evacuated.get(upstream?.record.dataCentre ?? "");
  return !isPastLastCall(learntAtMs, context.clock.readMonotonicMs());
}
