import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { chooseEngine } from "./choose_engine.ts";
import type { EngineRequirements } from "./choose_engine.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

const MEMORY_TOKENS = 27_000;

const createCandidate = (
  id: string,
  change: { memoryTokens?: number; prefillingTokens?: number; tokenMs?: number } = {},
): UpstreamCandidate => ({
  upstream: {
    record: {
      id,
      service: "llm",
      address: "10.0.0.1:80",
      dataCentre: "a",
      slots: 24,
      isLeaving: false,
      slowForMs: 0,
      sequence: 0,
      startedAt: 1,
    },
    status: "ready",
    sinceMs: 0,
    isAbsent: false,
    slowUntilMs: 0,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    startSeenMs: Number.NEGATIVE_INFINITY,
  },
  load: {
    inFlight: 2,
    memoryTokens: change.memoryTokens ?? 8_000,
    prefillingTokens: change.prefillingTokens ?? 0,
  },
  conduct: { tokensPerMs: 14, tokenMs: change.tokenMs ?? 5, failureShare: 0 },
});

const RANDOM = createSeededRandom(1);
const createRequirements = (concurrentChoices = 3): EngineRequirements => ({
  limits: {
    slots: 24,
    memoryTokens: MEMORY_TOKENS,
    canMove: true,
    canBackUp: true,
    tokensPerEvent: 4,
  },
  prefillTokens: 3_000,
  outputTokens: 800,
  memoryTokens: 3_500,
  firstTokenMs: 1_500,
  memoryShare: 0.92,
  random: RANDOM,
  concurrentChoices,
});

describe("chooseEngine", () => {
  it("spreads hosts that choose before they receive each other's reports", () => {
    // 80 hosts share 31 engines; under high load up to four hosts choose within 10 ms.
    const engines = Array.from(
      { length: 31 },
      (_, index) => createCandidate(`e${index}`, { tokenMs: 5 + index / 100 }),
    );
    let collisions = 0;
    for (let round = 0; round < 500; round++) {
      const chosen = Array.from(
        { length: 4 },
        () => chooseEngine(engines, createRequirements())?.upstream.record.id,
      );
      collisions += 4 - new Set(chosen).size;
    }
    expect(collisions / 500).to.be.below(0.5); // would be 3 if all four chose one engine
  });

  it("chooses the engine with the minimum cost in a fleet of one host", () => {
    const engines = Array.from(
      { length: 8 },
      (_, index) => createCandidate(`e${index}`, { tokenMs: 5 + index / 10 }),
    );
    for (let round = 0; round < 50; round++) {
      expect(chooseEngine(engines, createRequirements(0))?.upstream.record.id).to.equal("e0");
    }
  });

  it("excludes engines that cost much more, are full, or miss the first token deadline", () => {
    const engines = [
      createCandidate("fast"),
      createCandidate("slow", { tokenMs: 12 }),
      createCandidate("full", { memoryTokens: 24_000, tokenMs: 3 }),
      createCandidate("busy", { prefillingTokens: 30_000, tokenMs: 3 }),
    ];
    for (let round = 0; round < 50; round++) {
      expect(chooseEngine(engines, createRequirements(1))?.upstream.record.id).to.equal("fast");
    }
  });

  it("returns undefined when no engine has free capacity", () => {
    const engines = [createCandidate("full", { memoryTokens: 24_000 })];
    expect(chooseEngine(engines, createRequirements())).to.equal(undefined);
    expect(chooseEngine([], createRequirements())).to.equal(undefined);
  });
});
