import { readFileSync } from "node:fs";
import process from "node:process";
import { checkSourceFile } from "./check_source_file.ts";
import { listSourceFiles } from "./list_source_files.ts";
import { readVerbs } from "./read_verbs.ts";

const verbs = readVerbs("docs/VERBS.md");
const findings = listSourceFiles(["packages", "bench", "playground", "scripts"]).flatMap((path) =>
  checkSourceFile({ path, text: readFileSync(path, "utf8"), verbs })
);
for (const finding of findings) {
  console.error(`${finding.path}:${finding.line}: ${finding.message}`);
}
process.exitCode = findings.length === 0 ? 0 : 1;
