import type { Upstream } from "../upstreams/mod.ts";
import { chooseGenerationUpstream } from "./choose_generation_upstream.ts";
import type { GenerationChoice } from "./choose_generation_upstream.ts";
import { FORWARDING_LIMITS } from "./constants.ts";
import type { ForwardingContext } from "./forwarding_context.ts";

/** Lists the limited upstreams with room for a generation, in the order in which they are chosen. */
export function listLimitedUpstreams(
  context: Parameters<typeof chooseGenerationUpstream>[0] & Pick<ForwardingContext, "limits">,
  choice: Omit<GenerationChoice, "among">,
): Upstream[] {
  const listed: Upstream[] = [];
  while (listed.length < FORWARDING_LIMITS.maxLimitedCandidates) {
    const excluded = new Set([...choice.excluded, ...listed.map(({ record }) => record.id)]);
    const next = chooseGenerationUpstream(context, { ...choice, excluded, among: "limited" });
    if (next === undefined) {
      break;
    }
    listed.push(next.upstream);
  }
  return listed;
}
