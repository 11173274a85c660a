import { expect } from "chai";
import { applyTokenId } from "./apply_token_id.ts";
import type { TokenTally } from "./token_tally.ts";

const createTally = (): TokenTally => ({
  nextIndex: 0,
  tokens: 0,
  lost: 0,
  doubled: 0,
  outOfOrder: 0,
  foreign: 0,
});

describe("applyTokenId", () => {
  const cases: readonly { title: string; ids: string[]; expected: Partial<TokenTally> }[] = [
    { title: "a complete stream", ids: ["a:0", "a:1", "a:2"], expected: { tokens: 3, lost: 0 } },
    { title: "a gap", ids: ["a:0", "a:3"], expected: { tokens: 2, lost: 2, outOfOrder: 1 } },
    { title: "a repeated id", ids: ["a:0", "a:0", "a:1"], expected: { tokens: 2, doubled: 1 } },
    { title: "an id of another stream", ids: ["a:0", "b:1"], expected: { tokens: 1, foreign: 1 } },
  ];
  for (const { title, ids, expected } of cases) {
    it(`counts ${title}`, () => {
      const tally = createTally();
      ids.forEach((id) => applyTokenId(tally, id));
      expect(tally).to.include(expected);
    });
  }
});
