import type { ForwardedRequest } from "./forwarded_request.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Whether a request, or a part of its prompt, is quarantined because it crashes upstreams. */
export function isHeldBack(
  context: Pick<ForwardingContext, "quarantine" | "promptParts">,
  request: Pick<ForwardedRequest, "fingerprint" | "partKeys">,
): boolean {
  return context.quarantine.isQuarantined(request.fingerprint) ||
    context.promptParts.isQuarantined(request.partKeys);
}
