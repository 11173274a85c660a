import type { RelayFigures } from "./relay_figures.ts";
import { RELAY_TARGETS } from "./relay_targets.ts";

/** Describes every target that the figures miss. */
export function listMissedTargets(figures: RelayFigures): string[] {
  const { direct, relayed, full } = figures;
  const addedMs = relayed.firstTokenMs.p50 - direct.firstTokenMs.p50;
  const streamBytes = figures.relayedStreamBytes - figures.directStreamBytes;
  const failed = direct.failed + relayed.failed + full.failed;
  const { minTokensPerSecond, maxAddedFirstTokenMs, maxStreamBytes } = RELAY_TARGETS;
  return [
    ...full.tokensPerSecond >= minTokensPerSecond
      ? []
      : [`${Math.round(full.tokensPerSecond)} tokens/s, wanted at least ${minTokensPerSecond}`],
    ...addedMs < maxAddedFirstTokenMs
      ? []
      : [`${addedMs.toFixed(2)} ms added to the first token, below ${maxAddedFirstTokenMs} wanted`],
    ...streamBytes < maxStreamBytes
      ? []
      : [`${Math.round(streamBytes)} bytes a stream, below ${maxStreamBytes} wanted`],
    ...failed === 0 ? [] : [`${failed} streams failed`],
  ];
}
