import type { ServerResponse } from "node:http";

/**
 * Closes responses that waited for their turn on a connection that has closed: the server closes the
 * first one only.
 */
export function closeQueuedResponses(responses: Iterable<ServerResponse>): void {
  for (const response of responses) {
    if (response.socket === null && !response.writableFinished) {
      response.destroy();
      response.emit("close");
    }
  }
}
