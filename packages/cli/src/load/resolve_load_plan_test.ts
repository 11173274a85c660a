import { expect } from "chai";
import { LOAD_DEFAULTS } from "./constants.ts";
import { resolveLoadPlan } from "./resolve_load_plan.ts";

const OPTIONS = { ...LOAD_DEFAULTS, url: "http://127.0.0.1:1/", apiKey: "k", model: "m" };

describe("resolveLoadPlan", () => {
  it("sets the weights that the mix omits to 0", () => {
    const plan = resolveLoadPlan({ ...OPTIONS, mix: "order=2" }).unsafeCoerce();
    expect(plan.weights).to.deep.equal({ chat: 0, order: 2, read: 0 });
    expect(plan.entryUrl).to.equal("http://127.0.0.1:1");
  });

  const cases: readonly { name: string; value: unknown; expected: string }[] = [
    { name: "apiKey", value: undefined, expected: "set CROCUSSAIL_API_KEY to the API key" },
    { name: "url", value: "host-1", expected: "expected the URL of a host" },
    { name: "mix", value: "chat:1", expected: "expected weights such as" },
    { name: "concurrency", value: "0", expected: "concurrency: Too small" },
  ];
  for (const { name, value, expected } of cases) {
    it(`rejects an invalid ${name}`, () => {
      const error = resolveLoadPlan({ ...OPTIONS, [name]: value }).swap().unsafeCoerce();
      expect(error.detail).to.contain(expected);
    });
  }
});
