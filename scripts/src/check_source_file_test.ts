import { expect } from "chai";
import { checkSourceFile } from "./check_source_file.ts";

const VERBS = new Set(["create", "decide"]);

const checkText = (path: string, text: string) =>
  checkSourceFile({ path, text, verbs: VERBS }).map(({ line, message }) => `${line}: ${message}`);

describe("checkSourceFile", () => {
  const cases: readonly { title: string; path: string; text: string; expected: RegExp }[] = [
    {
      title: "a second value export",
      path: "packages/cli/src/a.ts",
      text: "export const A = 1;\nexport function createB() {}\n",
      expected: /^2: second value export/,
    },
    {
      title: "a function name without a verb",
      path: "packages/cli/src/a.ts",
      text: "async function thing() {}\n",
      expected: /^1: function "thing" does not begin with a verb/,
    },
    {
      title: "a direct read of the clock",
      path: "packages/daemon/src/orders/a.ts",
      text: "const now = Date.now();\n",
      expected: /^1: direct read of the clock/,
    },
    {
      title: "an import of another slice's inner file",
      path: "packages/daemon/src/orders/a.ts",
      text: 'import { x } from "../settings/settings_state.ts";\n',
      expected: /^1: slice "orders" imports an inner file of "settings"/,
    },
    {
      title: "a decision module that imports I/O",
      path: "packages/daemon/src/orders/decide_claim.ts",
      text: 'import { request } from "undici";\n',
      expected: /^1: decision module imports I\/O from "undici"/,
    },
    {
      title: "an import that can start processes, outside the playground",
      path: "packages/daemon/src/orders/a.ts",
      text: 'import { spawn } from "node:child_process";\n',
      expected: /^1: a process starts no process/,
    },
  ];
  for (const { title, path, text, expected } of cases) {
    it(`finds ${title}`, () => {
      const findings = checkText(path, text);
      expect(findings).to.have.length(1);
      expect(findings[0]).to.match(expected);
    });
  }

  const allowed: readonly { title: string; path: string; text: string }[] = [
    {
      title: "a type export next to the single value export",
      path: "packages/cli/src/a.ts",
      text: "export const aSchema = 1;\nexport type A = number;\n",
    },
    {
      title: "a direct read of the clock in an adapter",
      path: "packages/daemon/src/adapters/create_clock.ts",
      text: "const now = Date.now();\n",
    },
    {
      title: "imports of another slice's mod.ts and of a shared directory",
      path: "packages/daemon/src/orders/a.ts",
      text: 'import { a } from "../settings/mod.ts";\nimport { b } from "../common/b.ts";\n',
    },
  ];
  for (const { title, path, text } of allowed) {
    it(`allows ${title}`, () => {
      expect(checkText(path, text)).to.deep.equal([]);
    });
  }
});
