import type { OwnerState, OwnerWaits } from "@crocussail/daemon/policy";
import type { EngineModel } from "@crocussail/stand_ins";
import type { Flight } from "./flight.ts";

/** One modelled engine with its admission owner. */
export interface BenchUpstream {
  readonly name: string;
  readonly group: number;
  readonly model: EngineModel;
  readonly owner: OwnerState;
  /** Granted flights by request id. */
  readonly flights: Map<string, Flight>;
  /** Changes with every planned wake; older wakes are ignored. */
  wakeVersion: number;
  /** Expected waits as the owner last said, and when. */
  waits: OwnerWaits;
  wordMs: number;
  choices: number;
  /** Time at which the engine began to leave. */
  leavingMs: number;
}
