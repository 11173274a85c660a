import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { computeNearCostShare } from "./compute_near_cost_share.ts";
import { chooseEngine } from "./choose_engine.ts";
import type { EngineNeed } from "./choose_engine.ts";
import type { UpstreamCandidate } from "./upstream_candidate.ts";

const MEMORY_TOKENS = 27_000;

const createCandidate = (
  id: string,
  change: { memoryTokens?: number; readingTokens?: number; tokenMs?: number } = {},
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
      startedAt: 1,
    },
    status: "ready",
    sinceMs: 0,
    isAbsent: false,
    slowUntilMs: 0,
  },
  load: {
    flights: 2,
    memoryTokens: change.memoryTokens ?? 8_000,
    readingTokens: change.readingTokens ?? 0,
  },
  conduct: { tokensPerMs: 14, tokenMs: change.tokenMs ?? 5, failureShare: 0 },
});

const RANDOM = createSeededRandom(1);
const createNeed = (hosts = 80): EngineNeed => ({
  limits: {
    slots: 24,
    memoryTokens: MEMORY_TOKENS,
    canMove: true,
    canBackUp: true,
    tokensPerEvent: 4,
  },
  readTokens: 3_000,
  outputTokens: 800,
  memoryTokens: 3_500,
  firstTokenMs: 1_500,
  memoryShare: 0.92,
  random: RANDOM,
  nearCostShare: computeNearCostShare(hosts),
});

describe("chooseEngine", () => {
  it("spreads hosts that choose before they hear of each other", () => {
    // 80 hosts share 31 engines; on heavy days up to four of them choose within 10 ms.
    const engines = Array.from(
      { length: 31 },
      (_, index) => createCandidate(`e${index}`, { tokenMs: 5 + index / 100 }),
    );
    let together = 0;
    for (let round = 0; round < 500; round++) {
      const chosen = Array.from(
        { length: 4 },
        () => chooseEngine(engines, createNeed())?.upstream.record.id,
      );
      together += 4 - new Set(chosen).size;
    }
    expect(together / 500).to.be.below(0.5); // four at one engine would be 3
  });

  it("takes the least cost in a fleet of one host", () => {
    const engines = Array.from(
      { length: 8 },
      (_, index) => createCandidate(`e${index}`, { tokenMs: 5 + index / 10 }),
    );
    for (let round = 0; round < 50; round++) {
      expect(chooseEngine(engines, createNeed(1))?.upstream.record.id).to.equal("e0");
    }
  });

  it("takes no engine that is clearly worse, has no room, or would begin too late", () => {
    const engines = [
      createCandidate("fast"),
      createCandidate("slow", { tokenMs: 12 }),
      createCandidate("full", { memoryTokens: 24_000, tokenMs: 3 }),
      createCandidate("busy", { readingTokens: 30_000, tokenMs: 3 }),
    ];
    for (let round = 0; round < 50; round++) {
      expect(chooseEngine(engines, createNeed())?.upstream.record.id).to.equal("fast");
    }
  });

  it("chooses none when none has room", () => {
    const engines = [createCandidate("full", { memoryTokens: 24_000 })];
    expect(chooseEngine(engines, createNeed())).to.equal(undefined);
    expect(chooseEngine([], createNeed())).to.equal(undefined);
  });
});
