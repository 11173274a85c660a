/** Stores the later of two times under a key; above the limit, the oldest entry is evicted. */
export function updateLatest(
  times: Map<string, number>,
  key: string,
  atMs: number,
  maxEntries: number,
): void {
  const latestMs = Math.max(atMs, times.get(key) ?? -Infinity);
  times.delete(key);
  times.set(key, latestMs);
  const [oldest] = times.keys();
  if (times.size > maxEntries && oldest !== undefined) {
    times.delete(oldest);
  }
}
