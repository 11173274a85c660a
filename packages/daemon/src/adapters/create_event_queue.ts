import type { EngineEvent } from "./engine_event_schema.ts";
import type { EngineStream } from "./engine_client.ts";

/** Options of {@link createEventQueue}. */
export interface EventQueueOptions {
  /** Queued events above which the source is paused until the reader has taken them. */
  readonly maxEvents: number;
  readonly pauseSource: () => void;
  readonly resumeSource: () => void;
  readonly closeSource: () => void;
}

/** Passes the events of a connection to one reader. */
export interface EventQueue {
  readonly stream: EngineStream;
  pushEvents(events: readonly EngineEvent[]): void;
  /** Ends the stream after the events that are still queued. */
  end(): void;
}

/** Creates a queue between a connection that pushes and a reader that pulls. */
export function createEventQueue(options: EventQueueOptions): EventQueue {
  let queued: EngineEvent[] = [];
  let isEnded = false;
  let isPaused = false;
  let settleRead: ((events: readonly EngineEvent[] | undefined) => void) | undefined;

  const takeQueued = () => {
    const events = queued;
    queued = [];
    if (isPaused) {
      isPaused = false;
      options.resumeSource();
    }
    return events;
  };
  const settleWaitingRead = () => {
    if (settleRead === undefined || (queued.length === 0 && !isEnded)) {
      return;
    }
    const settle = settleRead;
    settleRead = undefined;
    settle(queued.length > 0 ? takeQueued() : undefined);
  };
  const end = () => {
    isEnded = true;
    settleWaitingRead();
  };

  return {
    pushEvents: (events) => {
      queued = queued.length === 0 ? [...events] : [...queued, ...events];
      settleWaitingRead();
      if (queued.length > options.maxEvents && !isPaused) {
        isPaused = true;
        options.pauseSource();
      }
    },
    end,
    stream: {
      readBatch: () =>
        new Promise((resolve) => {
          settleRead = resolve;
          settleWaitingRead();
        }),
      close: () => {
        queued = [];
        end();
        options.closeSource();
      },
    },
  };
}
