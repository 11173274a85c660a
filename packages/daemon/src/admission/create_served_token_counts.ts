import { ADMISSION_LIMITS } from "./constants.ts";

/** Counts the tokens served to each team, with exponential decay, for weighted fairness. */
export interface ServedTokenCounts {
  recordTokens(team: string, tokens: number, nowMs: number): void;
  /** Decayed number of tokens served to a team, divided by its weight. */
  computeShare(team: string, weight: number, nowMs: number): number;
}

/** Creates the counts. Beyond `maxTeams` the least recently served team is evicted. */
export function createServedTokenCounts(): ServedTokenCounts {
  const served = new Map<string, { tokens: number; atMs: number }>();
  const readTokens = (team: string, nowMs: number) => {
    const known = served.get(team);
    return known === undefined
      ? 0
      : known.tokens * 0.5 ** ((nowMs - known.atMs) / ADMISSION_LIMITS.servedTokensHalfLifeMs);
  };
  return {
    recordTokens: (team, tokens, nowMs) => {
      const total = readTokens(team, nowMs) + tokens;
      served.delete(team);
      served.set(team, { tokens: total, atMs: nowMs });
      if (served.size > ADMISSION_LIMITS.maxTeams) {
        served.delete(served.keys().next().value as string);
      }
    },
    computeShare: (team, weight, nowMs) => readTokens(team, nowMs) / weight,
  };
}
