import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { z } from "zod";
import type { LoadPlan } from "./load_plan.ts";

const MIX_PATTERN = /^(chat|order|read)=\d+(,(chat|order|read)=\d+)*$/;
const MS_PER_SECOND = 1_000;

const loadOptionsSchema = z.object({
  url: z.url({ error: "expected the URL of a host, for example http://10.0.0.1:8001" }),
  apiKey: z.string({ error: "set CROCUSSAIL_API_KEY to the API key" }).min(1),
  model: z.string(),
  service: z.string(),
  orderPath: z.string().startsWith("/"),
  readPath: z.string().startsWith("/"),
  kind: z.string(),
  mix: z.string().regex(MIX_PATTERN, "expected weights such as chat=8,order=1,read=1"),
  requests: z.coerce.number().int().min(1).max(1_000_000),
  seconds: z.coerce.number().positive().max(3_600),
  concurrency: z.coerce.number().int().min(1).max(1_000),
  maxTokens: z.coerce.number().int().min(1).max(100_000),
  seed: z.coerce.number().int(),
  resumeShare: z.coerce.number().min(0).max(1),
  stallMs: z.coerce.number().positive(),
  deadlineMs: z.coerce.number().positive(),
});

/** Checks the options of a load run. */
export function resolveLoadPlan(options: unknown): Either<ResultError, LoadPlan> {
  const parsed = loadOptionsSchema.safeParse(options);
  if (!parsed.success) {
    const lines = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    return Left(createResultError("invalidRequest", lines.join("\n")));
  }
  const { url, seconds, mix, ...plan } = parsed.data;
  const weights = { chat: 0, order: 0, read: 0, ...parseMix(mix) };
  const entryUrl = url.replace(/\/$/, "");
  return Right({ ...plan, entryUrl, weights, durationMs: seconds * MS_PER_SECOND });
}

function parseMix(mix: string): Record<string, number> {
  return Object.fromEntries(
    mix.split(",").map((part) => {
      const [kind = "", weight = "0"] = part.split("=");
      return [kind, Number(weight)];
    }),
  );
}
