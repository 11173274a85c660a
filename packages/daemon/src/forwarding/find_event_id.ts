const ID_LINE = /(?:^|\r?\n)id: ?(\d+)\r?\n/;

/** Finds the number in the `id` line of an event; undefined when it has none. */
export function findEventId(event: Uint8Array): number | undefined {
  const match = ID_LINE.exec(Buffer.from(event).toString("latin1"));
  return match === null ? undefined : Number(match[1]);
}
