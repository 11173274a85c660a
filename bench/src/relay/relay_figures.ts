import type { LoadResult } from "./load_result.ts";

/** One run of the load, and how busy the daemon's thread was meanwhile. */
export interface RelayRun extends LoadResult {
  /** Share of the run in which the daemon's loop was busy. */
  readonly loopUtilization: number;
}

/** Figures of the relay measurement. */
export interface RelayFigures {
  /** Half the target's load, straight to the engine and through the daemon. */
  readonly direct: RelayRun;
  readonly relayed: RelayRun;
  /** More than the target's load through the daemon. */
  readonly full: RelayRun;
  /** Resident bytes of the whole process for each further open stream, direct and relayed. */
  readonly directStreamBytes: number;
  readonly relayedStreamBytes: number;
  /** JavaScript heap and buffers of the daemon's thread for each open stream. */
  readonly heapStreamBytes: number;
}
