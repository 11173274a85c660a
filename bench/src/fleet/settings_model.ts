import type { SettingsState } from "@crocussail/daemon";

/** Options of a model of the settings of a fleet. */
export interface SettingsModelOptions {
  readonly daemons: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Share of messages between daemons that are lost. */
  readonly loss?: number;
}

/** Decision functions of a whole fleet on one clock, with a fake of the settings service. */
export interface SettingsModel {
  readNowMs(): number;
  advance(ms: number): void;
  /** Publishes a value and returns its revision. */
  publish(path: string, text?: string): number;
  setServiceDown(isDown: boolean): void;
  /** Freezes what the service shows, or shows everything again. */
  setServiceStale(isStale: boolean): void;
  startDaemon(index: number): void;
  stopDaemon(index: number): void;
  getState(index: number): SettingsState;
  isReady(index: number): boolean;
  /** Time until every running daemon has `revision` of `path` in force, in milliseconds. */
  measureSpread(path: string, revision: number, boundMs: number): number;
  /** Largest number of calls to the service within one second since the last reset. */
  countPeakCalls(): number;
  resetCalls(): void;
  /** Messages sent between daemons since the start, without heartbeats. */
  countExchanges(): { readonly pulls: number; readonly offers: number };
}
