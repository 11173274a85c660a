import type { GenerationStream } from "./generation_run.ts";

/** Creates the state of a stream that is not open yet. */
export function createGenerationStream(): GenerationStream {
  return {
    exchange: undefined,
    bufferedEvents: undefined,
    closed: undefined,
    isDetached: false,
    handleClose: undefined,
    stopCalls: undefined,
  };
}
