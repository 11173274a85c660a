import { createPlacementEngine } from "@crocussail/stand_ins";
import type { PlacementEngine } from "@crocussail/stand_ins";
import { createHttpPlacementClient } from "@crocussail/daemon";
import { expect } from "chai";

const COPY = { model: "m", version: "1", adapters: [], role: "mixed" };

describe("placement client against engines", () => {
  const client = createHttpPlacementClient();
  let engine: PlacementEngine;

  afterEach(() => engine.close());

  const order = (kind: "load" | "serve" | "keep" | "unload", fence: number, version = "1") =>
    client.sendPlacementOrder(engine.url, { ...COPY, version, kind, fence });
  const listCopies = async () =>
    (await client.fetchPlacementStatus(engine.url)).unsafeCoerce().copies
      .map((copy) => `${copy.version} ${copy.state}${copy.isServing ? " serving" : ""}`);

  it("loads, serves and unloads a copy", async () => {
    engine = await createPlacementEngine({ checksFencing: true });
    await order("load", 1);
    expect(await listCopies()).to.deep.equal(["1 loading"]);
    engine.finishLoads();
    await order("serve", 1);
    expect(await listCopies()).to.deep.equal(["1 ready serving"]);
    await order("unload", 1);
    expect(await listCopies()).to.deep.equal([]);
  });

  it("reports that a fencing engine refused a late order, also after a keep order", async () => {
    engine = await createPlacementEngine({ checksFencing: true });
    await order("load", 5);
    await order("keep", 6);
    const late = await order("unload", 5);
    expect(late.swap().unsafeCoerce().code).to.equal("placementRefused");
    expect(await listCopies()).to.deep.equal(["1 loading"]);
    expect(engine.countRefused()).to.equal(1);
  });

  it("reports that an engine without fencing accepted a late order", async () => {
    engine = await createPlacementEngine({ checksFencing: false });
    await order("load", 6);
    expect((await order("unload", 5)).isRight()).to.equal(true);
    expect(await listCopies()).to.deep.equal([]);
  });

  it("reports a failed readiness check while the old version serves", async () => {
    engine = await createPlacementEngine({ checksFencing: true, badVersions: ["2"] });
    await order("load", 1);
    engine.finishLoads();
    await order("serve", 1);
    await order("load", 2, "2");
    engine.finishLoads();
    expect(await listCopies()).to.deep.equal(["1 ready serving", "2 failed"]);
    expect((await order("serve", 2, "2")).isLeft()).to.equal(true);
  });

  it("reports an engine that refuses the connection", async () => {
    engine = await createPlacementEngine({ checksFencing: true });
    const url = "http://127.0.0.1:1";
    expect((await client.fetchPlacementStatus(url)).isLeft()).to.equal(true);
    const refused = await client.sendPlacementOrder(url, { ...COPY, kind: "load", fence: 1 });
    expect(refused.swap().unsafeCoerce().code).to.equal("placementUnknown");
  });
});
