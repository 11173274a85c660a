import { expect } from "chai";
import type { PlacementStatus } from "../adapters/placement_status_schema.ts";
import { decideEngineOrder } from "./decide_engine_order.ts";
import type { EngineOrderInput } from "./decide_engine_order.ts";

type Copy = PlacementStatus["copies"][number];

const NEW = { model: "m", version: "2", adapters: ["x"], role: "mixed" };
const makeCopy = (fields: Partial<Copy>): Copy => ({
  ...NEW,
  state: "ready",
  isServing: true,
  ...fields,
});
const OLD = makeCopy({ version: "1" });
const OTHER = makeCopy({ model: "other", version: "1" });

const CASES: readonly {
  title: string;
  copies: readonly Copy[];
  input?: Partial<EngineOrderInput>;
  /** Order as `kind model@version`, or the type and reason of a decision without one. */
  expected: string;
}[] = [
  { title: "empty engine", copies: [], expected: "load m@2" },
  { title: "old version serving", copies: [OLD], expected: "load m@2" },
  {
    title: "load in progress",
    copies: [OLD, makeCopy({ state: "loading", isServing: false })],
    expected: "wait loading",
  },
  {
    title: "load of another copy in progress",
    copies: [makeCopy({ version: "1", state: "loading", isServing: false })],
    expected: "wait loading",
  },
  {
    title: "new version ready",
    copies: [OLD, makeCopy({ isServing: false })],
    expected: "serve m@2",
  },
  { title: "wrong role", copies: [makeCopy({ role: "decode" })], expected: "serve m@2" },
  {
    title: "new version serves, old one idle",
    copies: [makeCopy({ version: "1", isServing: false }), makeCopy({})],
    expected: "unload m@1",
  },
  { title: "nothing to do", copies: [makeCopy({})], expected: "done" },
  {
    title: "ready check failed",
    copies: [OLD, makeCopy({ state: "failed", isServing: false })],
    expected: "unload m@2",
  },
  {
    title: "version that failed recently",
    copies: [OLD],
    input: { hasFailed: true },
    expected: "wait failed",
  },
  {
    title: "full with the last ready copy of another model in use",
    copies: [OTHER, makeCopy({ model: "third" })],
    expected: "findKeeper other",
  },
  {
    title: "full, and the other model has a copy on another engine",
    copies: [OTHER, makeCopy({ model: "third" })],
    input: { kept: new Set(["other"]) },
    expected: "unload other@1",
  },
  {
    title: "full, and the other model is no longer in use",
    copies: [OTHER, makeCopy({ model: "third" })],
    input: { inUse: new Set(["m", "third"]) },
    expected: "unload other@1",
  },
  {
    title: "full with a copy that does not serve",
    copies: [OTHER, makeCopy({ model: "third", isServing: false })],
    expected: "unload third@2",
  },
  {
    title: "last ready copy of a model that is no longer wanted here",
    copies: [makeCopy({}), OTHER],
    expected: "findKeeper other",
  },
  { title: "no wanted copy", copies: [OTHER], input: { wanted: undefined }, expected: "done" },
];

describe("decideEngineOrder", () => {
  for (const { title, copies, input, expected } of CASES) {
    it(`${title}: ${expected}`, () => {
      const decision = decideEngineOrder({
        wanted: NEW,
        observed: { fence: 0, capacity: 2, copies: [...copies] },
        fence: 9,
        inUse: new Set(["m", "other", "third"]),
        kept: new Set(),
        hasFailed: false,
        ...input,
      });
      const shown = decision.type === "order"
        ? `${decision.order.kind} ${decision.order.model}@${decision.order.version}`
        : Object.values(decision).join(" ");
      expect(shown).to.equal(expected);
      if (decision.type === "order") {
        expect(decision.order.fence).to.equal(9);
        expect(decision.needsSlot).to.equal(decision.order.kind === "load");
      }
    });
  }
});
