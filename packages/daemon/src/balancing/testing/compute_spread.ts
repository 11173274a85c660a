import { computeLoadSpread } from "../compute_load_spread.ts";
import type { ChoiceSample } from "./run_choices.ts";

/** Computes the largest load divided by the mean, averaged over the samples from a time on. */
export function computeSpread(samples: readonly ChoiceSample[], fromMs: number): number {
  const ratios = samples.filter(({ atMs }) => atMs >= fromMs)
    .map(({ counts }) => computeLoadSpread(counts).spread);
  return ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
}
