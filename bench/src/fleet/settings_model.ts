import type { SettingsState } from "@crocussail/daemon";

/** Options of a settings model of a fleet. */
export interface SettingsModelOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Share of messages between daemons that are lost. */
  readonly loss?: number;
}

/** Settings decisions of a whole fleet on one simulated clock, with a fake settings service. */
export interface SettingsModel {
  readNowMs(): number;
  advance(ms: number): void;
  /** Publishes a value and returns its revision. */
  publish(path: string, text?: string): number;
  setServiceDown(isDown: boolean): void;
  /** Makes the service return only the values published so far, or all values again. */
  setServiceStale(isStale: boolean): void;
  startDaemon(index: number): void;
  stopDaemon(index: number): void;
  getState(index: number): SettingsState;
  isReady(index: number): boolean;
  /** Time until `revision` of `path` is active on every running daemon, in milliseconds. */
  measureSpread(path: string, revision: number, timeoutMs: number): number;
  /** Largest number of calls to the service within one second since the last reset. */
  countPeakCalls(): number;
  resetCalls(): void;
  /** Messages sent between daemons since the start, without heartbeats. */
  countExchanges(): { readonly pulls: number; readonly offers: number };
}
