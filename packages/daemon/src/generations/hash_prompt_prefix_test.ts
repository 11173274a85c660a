import { expect } from "chai";
import { hashPromptPrefix } from "./hash_prompt_prefix.ts";

describe("hashPromptPrefix", () => {
  const start = "Move containers. ".repeat(100);

  it("names prompts with the same start alike", () => {
    expect(hashPromptPrefix("a", `${start}to Toledo`)).to.equal(hashPromptPrefix("a", start));
  });

  it("keeps the prompts of teams apart", () => {
    expect(hashPromptPrefix("a", start)).not.to.equal(hashPromptPrefix("b", start));
    expect(hashPromptPrefix("ab", "c")).not.to.equal(hashPromptPrefix("a", "bc"));
  });
});
