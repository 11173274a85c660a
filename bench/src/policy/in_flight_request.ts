import type { OwnerState, OwnerWaits } from "@crocussail/daemon/policy";
import type { EngineModel } from "@crocussail/stand_ins";
import type { TrafficRequest } from "./traffic_request.ts";

/** State of a request from its arrival until it ends. */
export interface InFlightRequest {
  readonly request: TrafficRequest;
  /** Names of upstreams that are no longer candidates. */
  readonly excluded: Set<string>;
  /** Upstreams in whose queue the request waits. */
  readonly places: Set<BenchUpstream>;
  state: "placing" | "waiting" | "granted" | "ended";
  attempts: number;
  grantedUpstream: BenchUpstream | undefined;
  grantedAtMs: number;
  produced: number;
  /** Tokens produced at the last poll. */
  polledTokens: number;
  /** Time of the last report to the owner. */
  reportedAtMs: number;
  lastTokenAtMs: number | undefined;
  pausedAtMs: number | undefined;
}

/** One modelled engine with its admission owner. */
export interface BenchUpstream {
  readonly name: string;
  readonly group: number;
  readonly model: EngineModel;
  readonly owner: OwnerState;
  /** Granted requests by id. */
  readonly granted: Map<string, InFlightRequest>;
  /** Increases with every scheduled wake event; events of an older version are ignored. */
  wakeEventVersion: number;
  /** Expected waits of the owner's last report, and the time of that report. */
  waits: OwnerWaits;
  waitsUpdatedMs: number;
  choices: number;
  /** Time at which the engine started to drain. */
  leavingAtMs: number;
}
