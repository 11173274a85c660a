import type { LogLine } from "../common/log_line.ts";

/** Lists the lines of ended requests; one that was handed over is listed where it was served. */
export function listServedLines(lines: readonly LogLine[]): LogLine[] {
  return lines.filter(({ name, fields }) =>
    name === "requestServed" && fields["end"] !== "handedOver"
  );
}
