import { problemSchema } from "@crocussail/protocol";
import type { Problem } from "@crocussail/protocol";
import type { Dispatcher } from "undici";

/** Response of a plain service, or the problem that the daemon sent instead. */
export interface CallAnswer {
  readonly body: string;
  readonly problem?: Problem;
}

const PROBLEM_TYPE = "application/problem+json";

/** Reads the complete response to a call. */
export async function readCallAnswer(answer: Dispatcher.ResponseData): Promise<CallAnswer> {
  const body = await answer.body.text();
  const isProblem = String(answer.headers["content-type"]).startsWith(PROBLEM_TYPE);
  return isProblem ? { body, problem: problemSchema.parse(JSON.parse(body)) } : { body };
}
