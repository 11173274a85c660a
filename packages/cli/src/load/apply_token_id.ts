import type { TokenTally } from "./token_tally.ts";

/** Counts one event id: skipped indexes count as lost, an index below the next one as doubled. */
export function applyTokenId(tally: TokenTally, id: string): void {
  const colon = id.lastIndexOf(":");
  const stream = id.slice(0, colon);
  const index = Number(id.slice(colon + 1));
  tally.stream ??= stream;
  if (stream !== tally.stream) {
    tally.foreign += 1;
    return;
  }
  if (index < tally.nextIndex) {
    tally.doubled += 1;
    return;
  }
  tally.lost += index - tally.nextIndex;
  tally.outOfOrder += index > tally.nextIndex ? 1 : 0;
  tally.tokens += 1;
  tally.nextIndex = index + 1;
}
