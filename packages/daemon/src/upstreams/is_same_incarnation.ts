import type { UpstreamRecord } from "./upstream_record.ts";

/** Whether two records, of which one may be newer, describe the same incarnation of an upstream. */
export function isSameIncarnation(
  left: Pick<UpstreamRecord, "id" | "startedAt">,
  right: Pick<UpstreamRecord, "id" | "startedAt">,
): boolean {
  return left.id === right.id && left.startedAt === right.startedAt;
}
