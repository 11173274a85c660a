/** Values of the playground's fleet. */
export const PLAYGROUND = {
  apiKey: "playground-key",
  operatorToken: "playground-operator-token",
  fleetKey: "playground-fleet-key-of-one-machine",
  dataCentres: ["toledo", "detroit", "cleveland", "buffalo", "toledo"],
  /** Time for which callers keep an entry answer, in milliseconds. */
  entryTtlMs: 2_000,
  /** Time for a process to start, in milliseconds. */
  startTimeoutMs: 20_000,
} as const;
