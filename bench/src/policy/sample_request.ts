import type { TrafficRandom } from "./create_traffic_random.ts";
import type { EngineGroup, KindSpec, Scenario } from "./scenario.ts";
import type { TrafficRequest } from "./traffic_request.ts";

const PREFIX_VARIANTS = 2;
const PREFIX_SHARE = 0.6;
const PROMPT_SIGMA = 0.4;
const MIN_PROMPT_TOKENS = 32;
const MAX_PROMPT_FACTOR = 4;
/** Declared limits exceed the real length by at most this share. */
const DECLARED_MARGIN = 0.25;
/** Factors of the teams' median output length. */
const TEAM_LENGTH_FACTORS = [1, 1.5, 0.7, 1.2, 0.8, 1, 1.4, 0.6, 1, 1.3];

/** Samples one request of a group, without an arrival time. */
export function sampleRequest(
  options: { scenario: Scenario; group: number; declaredShare: number; random: TrafficRandom },
): Omit<TrafficRequest, "id" | "atMs"> {
  const { scenario, random } = options;
  const group = scenario.groups[options.group] as EngineGroup;
  const team = pickIndex(scenario.teamShares, random);
  const kind = group.kinds[
    pickIndex(group.kinds.map(({ share }) => share), random)
  ] as KindSpec;
  const median = kind.medianTokens * (TEAM_LENGTH_FACTORS[team] ?? 1);
  const drawn = Math.round(random.nextLogNormal(median, kind.sigma));
  const outputTokens = Math.max(1, Math.min(kind.maxTokens, drawn));
  const promptTokens = Math.round(Math.min(
    kind.promptTokens * MAX_PROMPT_FACTOR,
    Math.max(MIN_PROMPT_TOKENS, random.nextLogNormal(kind.promptTokens, PROMPT_SIGMA)),
  ));
  const variant = Math.floor(random.nextFloat() * PREFIX_VARIANTS);
  const prefixTokens = Math.min(promptTokens - 1, Math.round(kind.promptTokens * PREFIX_SHARE));
  const isDeclared = random.nextFloat() < options.declaredShare;
  const margin = 1 + random.nextFloat() * DECLARED_MARGIN;
  return {
    group: options.group,
    kind,
    team: `team-${team + 1}`,
    promptTokens,
    outputTokens,
    ...(isDeclared ? { declaredTokens: Math.ceil(outputTokens * margin) } : {}),
    prefix: { key: `${kind.name}/${team}/${variant}`, tokens: prefixTokens },
  };
}

function pickIndex(shares: readonly number[], random: TrafficRandom): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  let left = random.nextFloat() * total;
  for (const [index, share] of shares.entries()) {
    left -= share;
    if (left < 0) {
      return index;
    }
  }
  return shares.length - 1;
}
