import type { OrderAnswer } from "./order_answer.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/**
 * Decides the answer of an attempt without a majority to its caller. Only a recorded outcome or a
 * proven mismatch says more than "this attempt did not run the order".
 */
export function decideAnswerWithoutMajority(
  replies: readonly (OrderReply | undefined)[],
  majority: number,
): OrderAnswer {
  const taken = replies.flatMap((reply) => reply?.type === "taken" ? [reply] : []);
  const outcome = taken.find((reply) => reply.outcome !== undefined)?.outcome;
  if (outcome !== undefined) {
    return { type: "outcome", outcome, isReplay: true };
  }
  const mismatches = countReplies(replies, "mismatch");
  if (mismatches > 0) {
    return { type: "mismatch", isProven: mismatches >= majority };
  }
  if (replies.length - countReplies(replies, "expired") < majority) {
    return { type: "expired" };
  }
  if (taken.length > 0) {
    return { type: "contended", holders: taken.map((reply) => reply.claim) };
  }
  const answers = replies.map((reply) => reply?.type ?? "no reply").join(", ");
  return { type: "noMajority", detail: `replica replies: ${answers}` };
}

function countReplies(
  replies: readonly (OrderReply | undefined)[],
  type: OrderReply["type"],
): number {
  return replies.filter((reply) => reply?.type === type).length;
}
