import type { TraceLine } from "../common/trace_line.ts";

/**
 * What a caller got: an answer in time or late (or `answered`, where the line states no target), a
 * refusal, or nothing that it could use; `left` when it did not wait.
 */
export type ReportedEnd = "inTime" | "late" | "answered" | "refused" | "lost" | "left";

const REFUSALS = new Set(["refused", "notRun", "noUpstreamLeft"]);

/** Decides what a `requestServed` line says; the target holds to the first event of a stream. */
export function decideReportedEnd({ fields }: Pick<TraceLine, "fields">): ReportedEnd {
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
