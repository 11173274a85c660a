import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { readFile } from "node:fs/promises";
import { EitherAsync, Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { resolveDaemonConfig } from "../config/mod.ts";
import type { ResolvedDaemonConfig } from "../config/mod.ts";
import type { TlsMaterial } from "../http/mod.ts";

/** Contents of the files that a daemon reads once at startup. */
export interface DaemonFiles {
  readonly config: ResolvedDaemonConfig;
  readonly tls?: TlsMaterial;
}

/** Reads and validates the settings file, and reads the TLS files that it refers to. */
export function loadDaemonFiles(settingsFile: string): Promise<Either<ResultError, DaemonFiles>> {
  return EitherAsync<ResultError, DaemonFiles>(async ({ fromPromise, liftEither }) => {
    const text = await fromPromise(readText(settingsFile, "pass a readable INI file"));
    const config = await liftEither(resolveDaemonConfig({ file: settingsFile, text }));
    if (config.tls === undefined) {
      return { config };
    }
    const advice = `correct [tls] in ${settingsFile}`;
    const cert = await fromPromise(readText(config.tls.certificateFile, advice));
    const key = await fromPromise(readText(config.tls.keyFile, advice));
    return { config, tls: { cert, key } };
  }).run();
}

async function readText(file: string, advice: string): Promise<Either<ResultError, string>> {
  try {
    return Right(await readFile(file, "utf8"));
  } catch (error) {
    const detail = `${file}: ${(error as Error).message}; ${advice}`;
    return Left(createResultError("invalidSettingsFile", detail));
  }
}
