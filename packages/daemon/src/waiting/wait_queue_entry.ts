import type { UpstreamCandidate } from "../balancing/mod.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Engines as they are beside the requests that precede the one that is placed. */
export interface PlacementTurn {
  readonly candidates: readonly UpstreamCandidate[];
  /** No engine can start it within its target any more, so the first event may take any time. */
  readonly isLate: boolean;
}

/** A request that waits for room on an upstream. */
export interface WaitQueueEntry extends WaitingRequest {
  readonly requestId: string;
  /** Whether it still waits: its caller may have left, or a permit may have come. */
  readonly isWaiting: () => boolean;
  /** Places the request on an upstream; returns false if none has room. */
  readonly tryPlace: (turn: PlacementTurn) => boolean;
  /** Responds to the request that it has waited too long. */
  readonly expire: () => void;
  /** Responds to the request that it cannot start in its time. */
  readonly refuse: (retryAfterMs: number) => void;
}
