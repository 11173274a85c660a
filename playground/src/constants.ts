/** Values of the playground's fleet. */
export const PLAYGROUND = {
  apiKey: "playground-key",
  operatorToken: "playground-operator-token",
  fleetKey: "playground-fleet-key-of-one-machine",
  dataCentres: ["toledo", "detroit", "cleveland", "buffalo", "toledo"],
  /** Time for which callers cache an entry response, in milliseconds. */
  entryTtlMs: 2_000,
  /** Timeout for the start of a process, in milliseconds. */
  startTimeoutMs: 20_000,
} as const;
