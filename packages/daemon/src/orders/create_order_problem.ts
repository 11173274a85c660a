import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { OrderAnswer } from "./order_answer.ts";
import type { OrderOutcome } from "./order_outcome_schema.ts";

const REPEAT_AFTER_MS = 1_000;
/** This attempt wrote no byte of the call; says nothing about earlier attempts. */
const ATTEMPT_NOT_RUN = { attempt_ran: "no" };

/** Converts an answer without a service response to the problem that the caller receives. */
export function createOrderProblem(answer: OrderAnswer): ResultError {
  switch (answer.type) {
    case "outcome":
      return createOutcomeProblem(answer.outcome, answer.isReplay);
    case "contended":
      return createResultError("orderInProgress", "another attempt holds the key", {
        retryAfterMs: REPEAT_AFTER_MS,
        members: ATTEMPT_NOT_RUN,
      });
    case "noMajority":
      return createResultError("orderNoMajority", answer.detail, {
        retryAfterMs: REPEAT_AFTER_MS,
        members: ATTEMPT_NOT_RUN,
      });
    case "expired":
      return createResultError(
        "orderKeyExpired",
        "most of the key's replicas no longer store it",
        {
          members: ATTEMPT_NOT_RUN,
        },
      );
    case "mismatch":
      return createResultError(
        "orderKeyReused",
        "method, path or body differs from the first call",
        {
          ran: answer.isProven ? "no" : "unknown",
          members: ATTEMPT_NOT_RUN,
        },
      );
  }
}

function createOutcomeProblem(outcome: OrderOutcome, isReplay: boolean): ResultError {
  const members = isReplay ? ATTEMPT_NOT_RUN : {};
  switch (outcome.type) {
    case "completed":
      return createResultError("orderOutcomeOmitted", `the service answered ${outcome.status}`, {
        members: { ...members, service_status: outcome.status },
      });
    case "unknown":
      return createResultError("orderOutcomeUnknown", outcome.detail, { members });
    case "notRun":
      return createResultError("orderNotDispatched", outcome.detail, { members });
  }
}
