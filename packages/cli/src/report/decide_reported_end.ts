import type { LogLine } from "../common/log_line.ts";

/**
 * Result of a request for its caller: a response in time or late (`answered` if the line states no
 * target), a refusal, or no usable response (`lost`); `left` if the caller disconnected first.
 */
export type ReportedEnd = "inTime" | "late" | "answered" | "refused" | "lost" | "left";

const REFUSALS = new Set(["refused", "notRun", "noUpstreamLeft", "heldBack", "limited"]);

/** Classifies a `requestServed` line; the target of a stream applies to its first event. */
export function decideReportedEnd({ fields }: Pick<LogLine, "fields">): ReportedEnd {
  const end = String(fields["end"]);
  if (end === "callerLeft") {
    return "left";
  }
  if (REFUSALS.has(end)) {
    return "refused";
  }
  if (end !== "answered") {
    return "lost";
  }
  const targetMs = fields["targetMs"];
  if (typeof targetMs !== "number") {
    return "answered";
  }
  const tookMs = Number(fields["kind"] === "stream" ? fields["firstEventMs"] : fields["tookMs"]);
  return tookMs <= targetMs ? "inTime" : "late";
}
