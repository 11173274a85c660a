import { EVENT_CATALOGUE } from "@crocussail/protocol";
import type { EventName } from "@crocussail/protocol";
import type { LogLine } from "../common/log_line.ts";

/** Events that explain how a request ended or was rerouted, in order of precedence. */
const CAUSES = ["answerCut", "ownAnswerSent", "callerLeft", "moveFailed", "requestRepeated"];

/** Describes why a request ended as it did, from its log lines. */
export function describeCause(lines: readonly LogLine[], requestId: string): string {
  const requestLines = lines.filter(({ fields }) => fields["request"] === requestId);
  const servedLine = requestLines.findLast(({ name }) => name === "requestServed");
  const end = servedLine === undefined
    ? "has no final response in these logs"
    : `ended: ${servedLine.fields["end"]} after ${servedLine.fields["tookMs"]} ms`;
  const cause = CAUSES.map((name) => requestLines.findLast((line) => line.name === name))
    .find((line) => line !== undefined);
  if (cause === undefined) {
    return end;
  }
  const entry = EVENT_CATALOGUE[cause.name as EventName];
  const reason = cause.fields["reason"] ?? cause.fields["detail"] ?? "no reason stated";
  return `${end}; ${entry.title}: ${reason} (action: ${entry.action})`;
}
