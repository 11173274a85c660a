/** Mark at the end of an incarnation, as `markIncarnation` adds it. */
const MARK = /\.p(\d{1,4})$/;

/** Reads the protocol version from an incarnation; 0 if it has no mark. */
export function readIncarnationMark(incarnation: unknown): number {
  const mark = typeof incarnation === "string" ? MARK.exec(incarnation) : null;
  return mark === null ? 0 : Number(mark[1]);
}
