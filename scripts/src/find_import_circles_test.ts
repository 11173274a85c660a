import { expect } from "chai";
import { findImportCircles } from "./find_import_circles.ts";

const createFile = (path: string, ...sources: readonly string[]) => ({
  path,
  text: sources.map((source) => `import type { A } from "${source}";\n`).join(""),
});

describe("findImportCircles", () => {
  it("accepts files that are imported twice", () => {
    const files = [
      createFile("p/a.ts", "./b.ts", "./c.ts"),
      createFile("p/b.ts", "./c.ts"),
      createFile("p/c.ts", "node:net", "./missing.ts"),
    ];
    expect(findImportCircles(files)).to.deep.equal([]);
  });

  it("names the files of a circle, across directories and lines", () => {
    const files = [
      createFile("p/a.ts", "./q/b.ts"),
      { path: "p/q/b.ts", text: 'export {\n  A,\n} from "../c.ts";\n' },
      createFile("p/c.ts", "./a.ts"),
    ];
    expect(findImportCircles(files).map(({ message }) => message)).to.deep.equal([
      "imports in a circle: p/a.ts -> p/q/b.ts -> p/c.ts -> p/a.ts",
    ]);
  });

  it("finds a file that imports itself", () => {
    expect(findImportCircles([createFile("p/a.ts", "./a.ts")])).to.have.length(1);
  });
});
