import { listCandidates } from "../balancing/mod.ts";
import type { UpstreamCandidate } from "../balancing/mod.ts";
import type { EngineLimits, ServiceSettings } from "../routes/mod.ts";
import { listUsableUpstreams } from "../upstreams/mod.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Lists the usable engines of a service with their loads; undefined if it has no engines. */
export function listEngineRoom(
  context: Pick<ForwardingContext, "upstreams" | "loads" | "clock">,
  service: ServiceSettings | undefined,
): { candidates: UpstreamCandidate[]; limits: EngineLimits } | undefined {
  if (service?.engine === undefined) {
    return undefined;
  }
  const nowMs = context.clock.readMonotonicMs();
  const usable = listUsableUpstreams(context.upstreams, service.name, nowMs);
  return { candidates: listCandidates(context.loads, usable, nowMs), limits: service.engine };
}
