import type { LoadResult } from "./load_result.ts";

/** Result of one load run, with the utilization of the daemon's thread. */
export interface RelayRun extends LoadResult {
  /** Share of the run in which the daemon's event loop was busy. */
  readonly loopUtilization: number;
}

/** Figures of the relay bench. */
export interface RelayFigures {
  /** Half the target load, directly to the engine and through the daemon. */
  readonly direct: RelayRun;
  readonly relayed: RelayRun;
  /** More than the target load through the daemon. */
  readonly full: RelayRun;
  /** Resident bytes of the whole process for each further open stream, direct and relayed. */
  readonly directStreamBytes: number;
  readonly relayedStreamBytes: number;
  /** JavaScript heap and buffers of the daemon's thread for each open stream. */
  readonly heapStreamBytes: number;
}
