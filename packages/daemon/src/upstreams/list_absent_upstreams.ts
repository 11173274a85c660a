import type { UpstreamState } from "./upstream_state.ts";

/**
 * Lists the upstreams that are missing from a complete list read at `readAtMs`, except those that
 * other hosts have reported since.
 */
export function listAbsentUpstreams(
  state: UpstreamState,
  publishedIds: ReadonlySet<string>,
  readAtMs: number,
): string[] {
  return [...state.upstreams.values()]
    .filter(({ record, status, sinceMs }) =>
      (status === "ready" || status === "lapsed") && sinceMs < readAtMs &&
      !publishedIds.has(record.id)
    )
    .map(({ record }) => record.id);
}
