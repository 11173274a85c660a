import type { WaitQueue, WaitQueueOptions } from "@crocussail/daemon/waiting";

/** Creates the wait queue of one host. */
export type CreateQueue = (options: WaitQueueOptions) => WaitQueue;

/** A simulated deployment with a burst of load. */
export interface WaitingLoadOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly engines: number;
  /** Load of the burst, as a multiple of what the engines have room for. */
  readonly load: number;
  readonly createQueue: CreateQueue;
}

/** How the requests of a group ended. */
export interface WaitingShare {
  readonly asked: number;
  /** Shares of the requests. */
  readonly inTarget: number;
  readonly late: number;
  readonly refused: number;
  /** Mean time until a refusal, in milliseconds. */
  readonly refusedAfterMs: number;
}

/** Shares by group of requests. */
export type WaitingLoadFigures = Readonly<Record<string, WaitingShare>>;
