import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { request } from "undici";
import type { OperatorTarget } from "./operator_target.ts";

const TIMEOUT_MS = 5_000;

/** Fetches one JSON document from an operators' listener. */
export async function fetchOperatorJson(
  target: OperatorTarget,
  path: string,
): Promise<Either<ResultError, unknown>> {
  try {
    const answer = await request(`${target.url}${path}`, {
      headers: { authorization: `Bearer ${target.token}` },
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    const body = await answer.body.json();
    return answer.statusCode === 200
      ? Right(body)
      : Left(createResultError("notFound", `${target.url}: ${describeFailure(answer, body)}`));
  } catch (error) {
    const detail = `${target.url}: ${(error as Error).message}; is the daemon running there?`;
    return Left(createResultError("peerUnreachable", detail));
  }
}

function describeFailure(answer: { statusCode: number }, body: unknown): string {
  const message = (body as { error?: string }).error ?? "";
  return `status ${answer.statusCode} ${message}`;
}
