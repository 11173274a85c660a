/** How many requests a host may have in flight at a brittle upstream that it owns. */
export interface UpstreamRoom {
  /** Start of the incarnation that it holds for. */
  readonly startedAt: number;
  /** The room at `atMs`; it grows from there. */
  readonly room: number;
  readonly atMs: number;
}
