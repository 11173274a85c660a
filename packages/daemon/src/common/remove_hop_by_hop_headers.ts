const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "http2-settings",
]);

/** Removes hop-by-hop headers, those that `Connection` names, and `additionalHeaders`. */
export function removeHopByHopHeaders(
  rawHeaders: readonly string[],
  additionalHeaders: readonly string[],
): string[] {
  const droppedNames = new Set(additionalHeaders);
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === "connection") {
      const names = rawHeaders[index + 1]?.split(",") ?? [];
      names.forEach((name) => droppedNames.add(name.trim().toLowerCase()));
    }
  }
  const keptHeaders: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? "";
    const lowerName = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lowerName) && !droppedNames.has(lowerName)) {
      keptHeaders.push(name, rawHeaders[index + 1] ?? "");
    }
  }
  return keptHeaders;
}
