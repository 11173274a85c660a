import { expect } from "chai";
import fc from "fast-check";
import { ADMISSION_LIMITS } from "./constants.ts";
import { createLengthPredictor } from "./create_length_predictor.ts";

const KEY = { team: "planners", kind: "plan", model: "plan-70b" };

function makePredictor(lengths: readonly number[], key = KEY) {
  const predictor = createLengthPredictor();
  lengths.forEach((length) => predictor.recordLength(key, length, 0));
  return predictor;
}

describe("length predictor", () => {
  it("predicts a long response when no length has been recorded", () => {
    const remaining = createLengthPredictor().predictRemaining({ ...KEY, produced: 0 });
    expect(remaining).to.be.above(500);
  });

  it("learns the response lengths of a team's requests of one kind", () => {
    const predictor = makePredictor(Array.from({ length: 200 }, () => 60));
    expect(predictor.predictRemaining({ ...KEY, produced: 0 })).to.be.within(40, 150);
  });

  it("predicts more remaining tokens once a response is longer than the short ones", () => {
    const predictor = makePredictor(
      Array.from({ length: 200 }, (_, index) => index % 10 === 0 ? 4_000 : 50),
    );
    const fresh = predictor.predictRemaining({ ...KEY, produced: 0 });
    const remainingAfter500 = predictor.predictRemaining({ ...KEY, produced: 500 });
    expect(remainingAfter500).to.be.above(2 * fresh);
  });

  it("uses the lengths of the same kind in all teams for a team without data", () => {
    const predictor = makePredictor(Array.from({ length: 200 }, () => 60), {
      ...KEY,
      team: "others",
    });
    expect(predictor.predictRemaining({ ...KEY, produced: 0 })).to.be.below(200);
  });

  it("gives old lengths less weight", () => {
    const predictor = makePredictor(Array.from({ length: 100 }, () => 4_000));
    const laterMs = 20 * ADMISSION_LIMITS.lengthHalfLifeMs;
    for (let index = 0; index < 100; index++) {
      predictor.recordLength(KEY, 50, laterMs);
    }
    expect(predictor.predictRemaining({ ...KEY, produced: 0 })).to.be.below(200);
  });

  it("uses a declared limit only as an upper bound", () => {
    const predictor = makePredictor(Array.from({ length: 200 }, () => 60));
    expect(predictor.predictRemaining({ ...KEY, produced: 10, maxTokens: 20 })).to.be.at.most(10);
    const uncapped = predictor.predictRemaining({ ...KEY, produced: 0 });
    const capped = predictor.predictRemaining({ ...KEY, produced: 0, maxTokens: 1_000_000 });
    expect(capped).to.be.closeTo(uncapped, 1e-6);
  });

  it("predicts survival probabilities that start at 1 and never increase", () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 60_000 }), { maxLength: 60 });
    const produced = fc.integer({ min: 0, max: 40_000 });
    fc.assert(
      fc.property(lengths, produced, (observed, alreadyProduced) => {
        const horizons = [0, 10, 100, 1_000, 10_000];
        const survival = makePredictor(observed).predictSurvival(
          { ...KEY, produced: alreadyProduced },
          horizons,
        );
        return survival[0] === 1 &&
          survival.every((value, index) => value >= 0 && value <= (survival[index - 1] ?? 1));
      }),
      { seed: 4, numRuns: 100 },
    );
  });
});
