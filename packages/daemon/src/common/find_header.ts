/** Returns the value of a header, or undefined unless the header occurs exactly once. */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  const lowerName = name.toLowerCase();
  let found: string | undefined;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== lowerName) {
      continue;
    }
    if (found !== undefined) {
      return undefined;
    }
    found = rawHeaders[index + 1];
  }
  return found;
}
