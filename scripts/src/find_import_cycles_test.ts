import { expect } from "chai";
import { findImportCycles } from "./find_import_cycles.ts";

const createFile = (path: string, ...sources: readonly string[]) => ({
  path,
  text: sources.map((source) => `import type { A } from "${source}";\n`).join(""),
});

describe("findImportCycles", () => {
  it("accepts files that several files import", () => {
    const files = [
      createFile("p/a.ts", "./b.ts", "./c.ts"),
      createFile("p/b.ts", "./c.ts"),
      createFile("p/c.ts", "node:net", "./missing.ts"),
    ];
    expect(findImportCycles(files)).to.deep.equal([]);
  });

  it("lists the files of a cycle through another directory and a multi-line re-export", () => {
    const files = [
      createFile("p/a.ts", "./q/b.ts"),
      { path: "p/q/b.ts", text: 'export {\n  A,\n} from "../c.ts";\n' },
      createFile("p/c.ts", "./a.ts"),
    ];
    expect(findImportCycles(files).map(({ message }) => message)).to.deep.equal([
      "import cycle: p/a.ts -> p/q/b.ts -> p/c.ts -> p/a.ts",
    ]);
  });

  it("finds a file that imports itself", () => {
    expect(findImportCycles([createFile("p/a.ts", "./a.ts")])).to.have.length(1);
  });
});
