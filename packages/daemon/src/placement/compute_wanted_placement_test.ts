import { modelSchema, upstreamSchema } from "@crocussail/protocol";
import { expect } from "chai";
import { computeWantedPlacement } from "./compute_wanted_placement.ts";

const ENGINES = 1_100;
const makeEngine = (models?: string, state = "live") =>
  upstreamSchema.parse({
    kind: "engine",
    url: "http://10.0.0.1",
    dataCentre: "suva",
    state,
    ...(models === undefined ? {} : { models }),
  });
const makeEngines = (count: number) =>
  new Map(Array.from({ length: count }, (_, index) => [`e${index}`, makeEngine()] as const));
const makeModels = (replicas: Readonly<Record<string, number>>) =>
  new Map(
    Object.entries(replicas).map(([name, count]) =>
      [name, modelSchema.parse({ version: "1", replicas: String(count) })] as const
    ),
  );
const countModel = (wanted: ReadonlyMap<string, { model: string }>, model: string) =>
  [...wanted.values()].filter((copy) => copy.model === model).length;

describe("computeWantedPlacement", () => {
  const models = makeModels({ a: 500, b: 300, c: 200 });
  const upstreams = makeEngines(ENGINES);

  it("places every replica once, independent of the order of the lists", () => {
    const wanted = computeWantedPlacement({ models, upstreams });
    const reversed = computeWantedPlacement({
      models: new Map([...models].reverse()),
      upstreams: new Map([...upstreams].reverse()),
    });
    expect(["a", "b", "c"].map((model) => countModel(wanted, model)))
      .to.deep.equal([500, 300, 200]);
    expect(new Map([...wanted].sort())).to.deep.equal(new Map([...reversed].sort()));
  });

  it("moves at most one copy per model when an engine is removed", () => {
    const before = computeWantedPlacement({ models, upstreams });
    const fewer = new Map(upstreams);
    fewer.set("e7", makeEngine(undefined, "leaving"));
    const after = computeWantedPlacement({ models, upstreams: fewer });
    const moved = [...after].filter(([engine, copy]) => before.get(engine)?.model !== copy.model);
    expect(after.has("e7")).to.equal(false);
    expect(moved.length).to.be.at.most(models.size);
  });

  it("respects the models that an engine may hold", () => {
    const limited = new Map([["only-b", makeEngine("b")], ["any", makeEngine()]]);
    const wanted = computeWantedPlacement({
      models: makeModels({ a: 2, b: 2 }),
      upstreams: limited,
    });
    expect(wanted.get("only-b")?.model).to.equal("b");
  });
});
