import { expect } from "chai";
import { hashPromptPrefix } from "./hash_prompt_prefix.ts";

describe("hashPromptPrefix", () => {
  const start = "Move containers. ".repeat(100);

  it("returns the same hash for prompts with the same start", () => {
    expect(hashPromptPrefix("a", `${start}to Toledo`)).to.equal(hashPromptPrefix("a", start));
  });

  it("returns different hashes for different salts", () => {
    expect(hashPromptPrefix("a", start)).not.to.equal(hashPromptPrefix("b", start));
    expect(hashPromptPrefix("ab", "c")).not.to.equal(hashPromptPrefix("a", "bc"));
  });
});
