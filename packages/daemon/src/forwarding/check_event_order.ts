/** `missing`: the event before this one has not been received. */
export type EventOrder = "next" | "known" | "missing";

/**
 * Checks the id of an event of a resumable stream against the last one received, over all engines.
 * An engine that ignores the id from which it resumes sends events again; one that resumes from a
 * later event would leave a hole in the response. Events without an id are in order.
 */
export function checkEventOrder(
  id: number | undefined,
  lastReceivedId: number | undefined,
): EventOrder {
  if (id === undefined || lastReceivedId === undefined) {
    return "next";
  }
  if (id <= lastReceivedId) {
    return "known";
  }
  return id === lastReceivedId + 1 ? "next" : "missing";
}
