import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { PERMIT_LIMITS } from "./constants.ts";
import { createPermitOwner } from "./create_permit_owner.ts";
import type { PermitAnswer } from "./create_permit_owner.ts";

const request = (key: string) => ({ key, priority: 1, waitMs: 5_000, patientMs: 5_000 });

describe("owner of the permits of an upstream that starts again", () => {
  const createOwner = () => {
    const clock = createManualClock();
    const answers: PermitAnswer[] = [];
    const owner = createPermitOwner({
      clock,
      getRate: () => ({ perSecond: 2, isCold: true }),
      localHost: "h1",
      findOwner: () => "h1",
      computeShare: () => 1,
      recordColdEnd: () => {},
    });
    clock.advance(PERMIT_LIMITS.settleMs);
    return { owner, answers };
  };

  it("does not grant all that wait for the former start, which may reach the cold one", () => {
    const { owner, answers } = createOwner();
    const former = { id: "u1", startedAt: 1 };
    ["a", "b", "c"].forEach((key) =>
      owner.requestPermit(former, request(key), (answer) => answers.push(answer))
    );
    owner.refreshLimit({ id: "u1", startedAt: 2 });
    expect(answers.map(({ type }) => type))
      .to.deep.equal(["wait", "wait", "wait", "refuse", "refuse", "refuse"]);
    owner.stop();
  });

  it("counts a request for the former start against the rate of the latest one", () => {
    const { owner, answers } = createOwner();
    owner.refreshLimit({ id: "u1", startedAt: 2 });
    owner.requestPermit({ id: "u1", startedAt: 1 }, request("a"), (answer) => answers.push(answer));
    expect(answers.map(({ type }) => type)).to.deep.equal(["wait"]);
    expect(owner.listOwned()).to.deep.equal([{ id: "u1", startedAt: 2 }]);
    owner.stop();
  });
});
