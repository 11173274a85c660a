import type { RelayFigures, RelayRun } from "./relay_figures.ts";

/** Renders the figures as a table for the terminal. */
export function renderRelayFigures(figures: RelayFigures): string {
  const rows = (["direct", "relayed", "full"] as const).map((name) =>
    renderRun(name, figures[name])
  );
  const { direct, relayed, full } = figures;
  const added = (key: "firstTokenMs" | "tokenMs", percentile: "p50" | "p99") =>
    (relayed[key][percentile] - direct[key][percentile]).toFixed(3);
  const microseconds = full.loopUtilization / full.tokensPerSecond * 1e6;
  return [
    "run       tokens/s  first p50/p95/p99 ms   token p50/p95/p99 ms   failed  loop",
    ...rows,
    `added to the first token: p50 ${added("firstTokenMs", "p50")} ms, ` +
    `p99 ${added("firstTokenMs", "p99")} ms`,
    `added to a token: p50 ${added("tokenMs", "p50")} ms, p99 ${added("tokenMs", "p99")} ms`,
    `loop time for each token at full load: ${microseconds.toFixed(1)} us`,
    `bytes for each open stream: direct ${Math.round(figures.directStreamBytes)}, relayed ` +
    `${Math.round(figures.relayedStreamBytes)}, of which daemon heap ` +
    `${Math.round(figures.heapStreamBytes)}`,
  ].join("\n");
}

function renderRun(name: string, run: RelayRun): string {
  const format = ({ p50, p95, p99 }: RelayRun["tokenMs"]) =>
    [p50, p95, p99].map((value) => value.toFixed(2)).join("/").padEnd(21);
  return [
    name.padEnd(8),
    String(Math.round(run.tokensPerSecond)).padStart(9),
    ` ${format(run.firstTokenMs)}`,
    format(run.tokenMs),
    String(run.failed).padStart(7),
    run.loopUtilization.toFixed(2).padStart(5),
  ].join(" ");
}
