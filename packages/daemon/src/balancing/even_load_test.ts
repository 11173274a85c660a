import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { chooseEngine } from "./choose_engine.ts";
import { chooseServiceUpstream } from "./choose_service_upstream.ts";
import { BALANCING_LIMITS } from "./constants.ts";
import { countRequestsElsewhere } from "./count_requests_elsewhere.ts";
import { estimateConcurrentChoices } from "./estimate_concurrent_choices.ts";
import { computeSpread } from "./testing/compute_spread.ts";
import { runChoices } from "./testing/run_choices.ts";
import type { ChoiceLoad, HostChoice } from "./testing/run_choices.ts";

const PROMPT_TOKENS = 1_000;
const ENGINE_LIMITS = {
  slots: 24,
  memoryTokens: 27_000,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};
/** Largest load by the mean that the operators accept with 20 requests or more an upstream. */
const MAX_SPREAD = 1.3;
const FILLED_MS = 2_000;

const chooseEngineOf = ({ candidates, hosts, random }: HostChoice) =>
  chooseEngine(candidates, {
    limits: ENGINE_LIMITS,
    prefillTokens: PROMPT_TOKENS,
    outputTokens: 100,
    memoryTokens: PROMPT_TOKENS,
    firstTokenMs: Number.POSITIVE_INFINITY,
    memoryShare: BALANCING_LIMITS.plannedMemoryShare,
    random,
    concurrentChoices: estimateConcurrentChoices({
      hosts,
      candidates,
      promptTokens: PROMPT_TOKENS,
      countDraining: () => 0,
    }),
  });

const choosePlain = ({ candidates, localLoads, hosts, random }: HostChoice) =>
  chooseServiceUpstream(candidates, random, countRequestsElsewhere(hosts, candidates, localLoads));

const createEngineLoad = (change: Partial<ChoiceLoad> & Pick<ChoiceLoad, "hosts">): ChoiceLoad => ({
  upstreams: 50,
  slots: 24,
  perSecond: 1_000,
  durationMs: 1_000,
  reportIntervalMs: 100,
  seconds: 4,
  random: createSeededRandom(1),
  choose: chooseEngineOf,
  ...change,
});

const createPlainLoad = (change: Partial<ChoiceLoad> = {}): ChoiceLoad => ({
  hosts: 69,
  upstreams: 4,
  slots: 6,
  perSecond: 2_000,
  durationMs: 40,
  reportIntervalMs: 1_000,
  seconds: 6,
  random: createSeededRandom(2),
  choose: choosePlain,
  ...change,
});

describe("even load on what is known late", () => {
  for (const hosts of [23, 69, 195]) {
    it(`keeps engines even for ${hosts} hosts that choose at the same moment on the same reports`, () => {
      const samples = runChoices(createEngineLoad({ hosts }));
      expect(computeSpread(samples, FILLED_MS)).to.be.at.most(MAX_SPREAD);
    });
  }

  it("keeps engines even when a tenth of the reports is lost", () => {
    const samples = runChoices(createEngineLoad({ hosts: 69, lossRate: 0.1 }));
    expect(computeSpread(samples, FILLED_MS)).to.be.at.most(MAX_SPREAD);
  });

  it("keeps engines even after half of the hosts are gone with their requests", () => {
    const samples = runChoices(createEngineLoad({ hosts: 69, halfGoneAtMs: 1_500 }));
    expect(computeSpread(samples, FILLED_MS + 1_000)).to.be.at.most(MAX_SPREAD);
  });

  it("fills an engine that has just come without overrunning it, and leaves none idle", () => {
    const samples = runChoices(createEngineLoad({ hosts: 69, joinAtMs: FILLED_MS }));
    const joined = samples.filter(({ atMs }) => atMs >= FILLED_MS)
      .map(({ atMs, counts }) => ({ atMs, count: counts.at(-1) ?? 0 }));
    expect(Math.max(...joined.map(({ count }) => count))).to.be.at.most(ENGINE_LIMITS.slots);
    const idle = joined.filter(({ atMs, count }) => atMs >= FILLED_MS + 100 && count === 0);
    expect(idle).to.have.length(0);
  });

  it("sends fewer requests to an upstream at half speed, so that it holds no more than the others", () => {
    const samples = runChoices(createEngineLoad({ hosts: 69, firstSlowdown: 2 }));
    const filled = samples.filter(({ atMs }) => atMs >= FILLED_MS);
    const first = filled.reduce((sum, { counts }) => sum + (counts[0] ?? 0), 0);
    const all = filled.reduce((sum, { counts }) => sum + counts.reduce((a, b) => a + b, 0), 0);
    expect(first * 50 / all).to.be.at.most(MAX_SPREAD);
  });

  it("keeps plain upstreams even when reports are older than the requests take", () => {
    expect(computeSpread(runChoices(createPlainLoad()), FILLED_MS)).to.be.at.most(MAX_SPREAD);
  });

  it("does not leave a plain upstream at half speed overrun", () => {
    const samples = runChoices(createPlainLoad({ firstSlowdown: 2 }));
    const filled = samples.filter(({ atMs }) => atMs >= FILLED_MS);
    const first = filled.reduce((sum, { counts }) => sum + (counts[0] ?? 0), 0);
    const all = filled.reduce((sum, { counts }) => sum + counts.reduce((a, b) => a + b, 0), 0);
    expect(first * 4 / all).to.be.below(1.6); // 1.6 if it received a quarter of the requests
  });
});
