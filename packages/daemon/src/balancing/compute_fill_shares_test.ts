import { expect } from "chai";
import fc from "fast-check";
import { computeFillShares } from "./compute_fill_shares.ts";

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

describe("computeFillShares", () => {
  it("gives everything to the cheapest candidate while it stays the cheapest", () => {
    const candidates = [
      { cost: 100, addedCost: 10, room: 8 },
      { cost: 200, addedCost: 10, room: 8 },
    ];
    expect(computeFillShares(candidates, 4).map(Math.round)).to.deep.equal([4, 0]);
  });

  it("fills valleys first and then all candidates evenly", () => {
    const candidates = [0, 4, 8].map((cost) => ({ cost, addedCost: 1, room: 100 }));
    expect(computeFillShares(candidates, 18).map(Math.round)).to.deep.equal([10, 6, 2]);
  });

  it("gives a candidate no more than it has room for", () => {
    const candidates = [
      { cost: 0, addedCost: 1, room: 2 },
      { cost: 5, addedCost: 1, room: 50 },
      { cost: 0, addedCost: 1, room: 0 },
      { cost: Infinity, addedCost: 1, room: 5 },
    ];
    expect(computeFillShares(candidates, 10).map(Math.round)).to.deep.equal([2, 8, 0, 0]);
  });

  it("fills all room when there is less than is needed, and none without candidates", () => {
    expect(computeFillShares([{ cost: 3, addedCost: 1, room: 2 }], 9)[0]).to.be.closeTo(2, 0.01);
    expect(computeFillShares([], 3)).to.deep.equal([]);
  });

  it("keeps the number, the room and the order of costs for any candidates", () => {
    const candidate = fc.record({
      cost: fc.integer({ min: 0, max: 5_000 }),
      addedCost: fc.integer({ min: 1, max: 500 }),
      room: fc.integer({ min: 0, max: 24 }),
    });
    fc.assert(fc.property(
      fc.array(candidate, { minLength: 1, maxLength: 30 }),
      fc.integer({ min: 1, max: 60 }),
      (candidates, count) => {
        const shares = computeFillShares(candidates, count);
        const room = sum(candidates.map((entry) => entry.room));
        expect(sum(shares)).to.be.closeTo(Math.min(count, room), 0.1);
        shares.forEach((share, index) => {
          const { cost, addedCost, room: own } = candidates[index] ??
            { cost: 0, addedCost: 1, room: 0 };
          expect(share).to.be.within(0, own);
          const level = cost + share * addedCost;
          const isPassedOver = candidates.some((other, at) =>
            other.room > (shares[at] ?? 0) + 0.1 && share > 0.1 &&
            other.cost + ((shares[at] ?? 0) + 0.2) * other.addedCost < level - addedCost * 0.2
          );
          expect(isPassedOver).to.equal(false);
        });
      },
    ));
  });
});
