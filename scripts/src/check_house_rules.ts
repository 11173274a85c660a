import { listPlatformNames } from "@crocussail/platform";
import { readFileSync } from "node:fs";
import process from "node:process";
import { checkPlatformNames } from "./check_platform_names.ts";
import { checkSourceFile } from "./check_source_file.ts";
import { findImportCycles } from "./find_import_cycles.ts";
import { listSourceFiles } from "./list_source_files.ts";
import { readVerbs } from "./read_verbs.ts";

const verbs = readVerbs("docs/VERBS.md");
const platformNames = new Set(listPlatformNames());
const files = listSourceFiles(["packages", "platform", "bench", "playground", "scripts"])
  .map((path) => ({ path, text: readFileSync(path, "utf8") }));
const findings = [
  ...files.flatMap((file) => [
    ...checkSourceFile({ ...file, verbs }),
    ...checkPlatformNames(file, platformNames),
  ]),
  ...findImportCycles(files),
];
for (const finding of findings) {
  console.error(`${finding.path}:${finding.line}: ${finding.message}`);
}
process.exitCode = findings.length === 0 ? 0 : 1;
