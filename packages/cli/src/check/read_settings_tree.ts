import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";

const EXTENSION = ".ini";

/**
 * Reads a settings tree: the file `teams/planners/access.ini` below `directory` is the value at the
 * path `teams/planners/access`. Other files are ignored.
 */
export async function readSettingsTree(
  directory: string,
): Promise<Either<ResultError, ReadonlyMap<string, string>>> {
  try {
    const names = await readdir(directory, { recursive: true });
    const files = names.filter((name) => name.endsWith(EXTENSION)).sort();
    if (files.length === 0) {
      const detail =
        `${directory}: contains no ${EXTENSION} file; pass the root directory of a settings tree`;
      return Left(createResultError("invalidRequest", detail));
    }
    const texts = await Promise.all(files.map(async (file) => {
      const path = file.slice(0, -EXTENSION.length);
      return [path, await readFile(join(directory, file), "utf8")] as const;
    }));
    return Right(new Map(texts));
  } catch (error) {
    const detail = `${directory}: ${(error as Error).message}; pass a readable directory`;
    return Left(createResultError("invalidRequest", detail));
  }
}
