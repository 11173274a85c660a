import { BRITTLE_LIMITS } from "./constants.ts";

/** A request that waits for room at the upstreams of a service that this host owns. */
export interface RoomRequest {
  /** Priority; the lowest number is first. */
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** Monotonic time until which it may wait. */
  readonly untilMs: number;
}

/** Requests that wait for room, by service. */
export interface RoomQueue {
  /**
   * Resolves to true when it is the request's turn, to false when it comes too late; to false at
   * once if `expectedMs` shows that. `expectedMs` is the expected wait behind `ahead` requests.
   */
  waitForTurn(
    service: string,
    request: RoomRequest,
    computeExpectedMs: (ahead: number) => number,
  ): Promise<boolean>;
  /** Gives the turn to the most urgent request, the oldest of several. */
  wakeNext(service: string): void;
  /** Ends the waits that are over. */
  expire(): void;
  count(service: string): number;
  /** Lists the services that requests wait for. */
  listServices(): string[];
}

interface Entry extends RoomRequest {
  readonly resolve: (isTurn: boolean) => void;
}

/** Creates an empty queue. */
export function createRoomQueue(readMonotonicMs: () => number): RoomQueue {
  const entries = new Map<string, Entry[]>();
  const compare = (left: Entry, right: Entry) =>
    left.priority - right.priority || left.arrivedAtMs - right.arrivedAtMs;
  const count = (service: string) => entries.get(service)?.length ?? 0;
  return {
    waitForTurn: (service, request, computeExpectedMs) =>
      new Promise((resolve) => {
        const waiting = entries.get(service) ?? [];
        const entry: Entry = { ...request, resolve };
        const ordered = [...waiting, entry].sort(compare);
        const expectedMs = computeExpectedMs(ordered.indexOf(entry));
        const isLate = readMonotonicMs() + expectedMs > request.untilMs;
        if (isLate || ordered.length > BRITTLE_LIMITS.maxWaiting) {
          resolve(false);
          return;
        }
        entries.set(service, ordered);
      }),
    wakeNext: (service) => entries.get(service)?.shift()?.resolve(true),
    expire: () => {
      const nowMs = readMonotonicMs();
      for (const [service, waiting] of entries) {
        const left = waiting.filter(({ untilMs }) => untilMs > nowMs);
        waiting.filter(({ untilMs }) => untilMs <= nowMs).forEach(({ resolve }) => resolve(false));
        left.length === 0 ? entries.delete(service) : entries.set(service, left);
      }
    },
    count,
    listServices: () => [...entries.keys()],
  };
}
