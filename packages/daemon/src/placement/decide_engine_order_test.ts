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
  { title: "engine is empty", copies: [], expected: "load m@2" },
  { title: "old version serves", copies: [OLD], expected: "load m@2" },
  {
    title: "wanted copy is being loaded",
    copies: [OLD, makeCopy({ state: "loading", isServing: false })],
    expected: "wait loading",
  },
  {
    title: "another copy is being loaded",
    copies: [makeCopy({ version: "1", state: "loading", isServing: false })],
    expected: "wait loading",
  },
  {
    title: "new version is ready but does not serve",
    copies: [OLD, makeCopy({ isServing: false })],
    expected: "serve m@2",
  },
  {
    title: "wanted copy serves in another role",
    copies: [makeCopy({ role: "decode" })],
    expected: "serve m@2",
  },
  {
    title: "new version serves, old one does not",
    copies: [makeCopy({ version: "1", isServing: false }), makeCopy({})],
    expected: "unload m@1",
  },
  { title: "wanted copy serves, and there is no other", copies: [makeCopy({})], expected: "done" },
  {
    title: "ready check of the wanted copy failed",
    copies: [OLD, makeCopy({ state: "failed", isServing: false })],
    expected: "unload m@2",
  },
  {
    title: "wanted version failed recently",
    copies: [OLD],
    input: { hasFailed: true },
    expected: "wait failed",
  },
  {
    title: "engine is full, and a copy of a used model is the only ready one",
    copies: [OTHER, makeCopy({ model: "third" })],
    expected: "findOtherCopy other",
  },
  {
    title: "engine is full, and another engine serves the other model",
    copies: [OTHER, makeCopy({ model: "third" })],
    input: { servedElsewhere: new Set(["other"]) },
    expected: "unload other@1",
  },
  {
    title: "engine is full, and the other model is no longer in use",
    copies: [OTHER, makeCopy({ model: "third" })],
    input: { modelsInUse: new Set(["m", "third"]) },
    expected: "unload other@1",
  },
  {
    title: "engine is full, and one copy does not serve",
    copies: [OTHER, makeCopy({ model: "third", isServing: false })],
    expected: "unload third@2",
  },
  {
    title: "wanted copy serves, and a copy of another used model is the only ready one",
    copies: [makeCopy({}), OTHER],
    expected: "findOtherCopy other",
  },
  { title: "no copy is wanted", copies: [OTHER], input: { wanted: undefined }, expected: "done" },
];

describe("decideEngineOrder", () => {
  for (const { title, copies, input, expected } of CASES) {
    it(`${title}: decides ${expected}`, () => {
      const decision = decideEngineOrder({
        wanted: NEW,
        observed: { fence: 0, capacity: 2, copies: [...copies] },
        fence: 9,
        modelsInUse: new Set(["m", "other", "third"]),
        servedElsewhere: new Set(),
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
