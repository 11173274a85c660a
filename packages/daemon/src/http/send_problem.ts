import { createProblem } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyReply } from "fastify";

/** Sends a problem document as the response. */
export function sendProblem(reply: FastifyReply, error: ResultError): FastifyReply {
  const problem = createProblem(error);
  if (error.retryAfterMs !== undefined) {
    reply.header("retry-after", Math.max(1, Math.ceil(error.retryAfterMs / 1_000)));
  }
  return reply
    .code(problem.status)
    .header("content-type", "application/problem+json")
    .send(JSON.stringify(problem));
}
