/** Yields complete lines of chunked UTF-8 text; throws if an unfinished one exceeds `maxLength`. */
export async function* splitLines(
  chunks: AsyncIterable<Uint8Array>,
  maxLength: number,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let parts: string[] = [];
  let length = 0;
  for await (const chunk of chunks) {
    const pieces = decoder.decode(chunk, { stream: true }).split("\n");
    for (const piece of pieces.slice(0, -1)) {
      yield [...parts, piece].join("");
      parts = [];
      length = 0;
    }
    const remainder = pieces.at(-1) ?? "";
    parts.push(remainder);
    length += remainder.length;
    if (length > maxLength) {
      throw new Error(`line is longer than ${maxLength} characters`);
    }
  }
}
