import { expect } from "chai";
import type { ClaimantEvent } from "./claimant_event.ts";
import type { ClaimantState } from "./claimant_state.ts";
import { createClaimantState } from "./create_claimant_state.ts";
import { decideClaimant } from "./decide_claimant.ts";
import type { OrderReply } from "./order_reply_schema.ts";

const ON_TIME = { isLate: false, isStale: false };
const LATE = { isLate: true, isStale: false };
const STALE = { isLate: false, isStale: true };

describe("claimant", () => {
  const createState = () =>
    createClaimantState({ claim: "c", digest: "d", replicas: 3, upstreams: 2 });
  const makeReply = (replica: number, type: OrderReply["type"]): ClaimantEvent => ({
    type: "reply",
    to: "claim",
    replica,
    reply: type === "taken" ? { type, claim: "other" } : { type } as OrderReply,
  });
  const applyEvents = (events: ClaimantEvent[], time = ON_TIME) => {
    let state: ClaimantState = createState();
    let effects: string[] = [];
    for (const event of events) {
      const decision = decideClaimant(state, event, time);
      state = decision.state;
      effects = decision.effects.map((effect) =>
        effect.type === "send" ? effect.message : effect.type
      );
    }
    return { state, effects };
  };
  const MAJORITY_GRANTS = [makeReply(0, "granted"), makeReply(2, "granted")];

  const table: [string, ClaimantEvent[], typeof ON_TIME, ClaimantState["phase"], string[]][] = [
    ["dispatches with a majority", MAJORITY_GRANTS, ON_TIME, "dispatching", ["dispatch"]],
    [
      "records notRun when it gets a majority after its deadline",
      MAJORITY_GRANTS,
      LATE,
      "recording",
      [
        "record",
        "record",
        "record",
      ],
    ],
    ["sends its claims again when its grants are stale", MAJORITY_GRANTS, STALE, "claiming", [
      "claim",
      "claim",
      "claim",
    ]],
    [
      "waits for the last reply even if a majority is no longer possible",
      [makeReply(0, "expired"), makeReply(1, "taken")],
      ON_TIME,
      "claiming",
      [],
    ],
    [
      "counts two grants of one replica once",
      [makeReply(0, "granted"), makeReply(0, "granted")],
      ON_TIME,
      "claiming",
      [],
    ],
    [
      "gives up at a timeout and ignores later grants",
      [makeReply(0, "granted"), { type: "timeout" }, makeReply(1, "granted")],
      ON_TIME,
      "releasing",
      [],
    ],
    [
      "tries another upstream after a refused connection",
      [...MAJORITY_GRANTS, { type: "refused" }],
      ON_TIME,
      "dispatching",
      [
        "dispatch",
      ],
    ],
    [
      "ignores a refused connection after the dispatch has ended",
      [
        ...MAJORITY_GRANTS,
        { type: "dispatched", outcome: { type: "unknown", detail: "" } },
        { type: "refused" },
      ],
      ON_TIME,
      "recording",
      [],
    ],
  ];
  for (const [name, events, time, phase, effects] of table) {
    it(name, () => {
      const end = applyEvents([{ type: "start" }, ...events], time);
      expect(end.state.phase).to.equal(phase);
      expect(end.effects).to.deep.equal(effects);
    });
  }

  it("gives up when its grants are stale in every round of claims", () => {
    const rounds = [...MAJORITY_GRANTS, ...MAJORITY_GRANTS, ...MAJORITY_GRANTS];
    expect(applyEvents([{ type: "start" }, ...rounds], STALE).state.phase).to.equal("releasing");
  });
});
