import { EVENT_CATALOGUE } from "@crocussail/protocol";
import type { EventName } from "@crocussail/protocol";
import type { TraceLine } from "../common/trace_line.ts";

/** Events that end or turn a request's way, the most telling first. */
const CAUSES = ["answerCut", "ownAnswerSent", "callerLeft", "moveFailed", "requestRepeated"];

/** Describes why a request ended as it did, from its own lines. */
export function describeCause(lines: readonly TraceLine[], requestId: string): string {
  const own = lines.filter(({ fields }) => fields["request"] === requestId);
  const served = own.findLast(({ name }) => name === "requestServed");
  const end = served === undefined
    ? "has no final answer in these logs"
    : `ended: ${served.fields["end"]} after ${served.fields["tookMs"]} ms`;
  const cause = CAUSES.map((name) => own.findLast((line) => line.name === name))
    .find((line) => line !== undefined);
  if (cause === undefined) {
    return end;
  }
  const entry = EVENT_CATALOGUE[cause.name as EventName];
  const reason = cause.fields["reason"] ?? cause.fields["detail"] ?? "no reason stated";
  return `${end}; ${entry.title}: ${reason} (action: ${entry.action})`;
}
