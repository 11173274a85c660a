import { expect } from "chai";
import type { ClaimantEvent } from "./claimant_event.ts";
import type { ClaimantState } from "./claimant_state.ts";
import { createClaimantState } from "./create_claimant_state.ts";
import { decideClaimant } from "./decide_claimant.ts";
import type { OrderReply } from "./order_reply_schema.ts";

const NOW = { isLate: false, isStale: false };
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
  const applyEvents = (events: ClaimantEvent[], time = NOW) => {
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
  const MAJORITY = [makeReply(0, "granted"), makeReply(2, "granted")];

  const table: [string, ClaimantEvent[], typeof NOW, ClaimantState["phase"], string[]][] = [
    ["dispatches with a majority", MAJORITY, NOW, "dispatching", ["dispatch"]],
    ["records notRun when it wakes after its deadline", MAJORITY, LATE, "recording", [
      "record",
      "record",
      "record",
    ]],
    ["asks again when its grants are old", MAJORITY, STALE, "claiming", [
      "claim",
      "claim",
      "claim",
    ]],
    [
      "waits for the last replica without a majority",
      [makeReply(0, "expired"), makeReply(1, "taken")],
      NOW,
      "claiming",
      [],
    ],
    [
      "counts two grants of one replica once",
      [makeReply(0, "granted"), makeReply(0, "granted")],
      NOW,
      "claiming",
      [],
    ],
    [
      "gives up for good at a timeout",
      [makeReply(0, "granted"), { type: "timeout" }, makeReply(1, "granted")],
      NOW,
      "releasing",
      [],
    ],
    [
      "tries another upstream after a refusal",
      [...MAJORITY, { type: "refused" }],
      NOW,
      "dispatching",
      [
        "dispatch",
      ],
    ],
    [
      "ignores a refusal after the first byte",
      [
        ...MAJORITY,
        { type: "dispatched", outcome: { type: "unknown", detail: "" } },
        { type: "refused" },
      ],
      NOW,
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

  it("gives up when it pauses in every round of claims", () => {
    const rounds = [...MAJORITY, ...MAJORITY, ...MAJORITY];
    expect(applyEvents([{ type: "start" }, ...rounds], STALE).state.phase).to.equal("releasing");
  });
});
