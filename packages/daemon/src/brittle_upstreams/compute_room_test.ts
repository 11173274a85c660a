import { expect } from "chai";
import { computeRoom } from "./compute_room.ts";
import { BRITTLE_LIMITS } from "./constants.ts";

describe("computeRoom", () => {
  it("grows by one in each interval, up to the slots", () => {
    const state = { room: 1, atMs: 1_000 };
    const rooms = [0, 1, 2, 20].map((intervals) =>
      computeRoom(state, 4, 1_000 + intervals * BRITTLE_LIMITS.growthMs)
    );
    expect(rooms).to.deep.equal([1, 2, 3, 4]);
  });
});
