import type { OwnerState, OwnerWaits } from "@crocussail/daemon/policy";
import type { EngineModel } from "@crocussail/stand_ins";
import type { TrafficRequest } from "./traffic_request.ts";

/** A request on its way through the bench. */
export interface Flight {
  readonly request: TrafficRequest;
  /** Upstreams not to ask again. */
  readonly excluded: Set<string>;
  /** Queue places held. */
  readonly places: Set<BenchUpstream>;
  state: "asking" | "waiting" | "granted" | "ended";
  attempts: number;
  grantedAt: BenchUpstream | undefined;
  grantedMs: number;
  produced: number;
  /** Tokens at the last look at the stream. */
  notedTokens: number;
  /** Time of the last report to the owner. */
  reportedMs: number;
  lastTokenMs: number | undefined;
  pausedMs: number | undefined;
}

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
