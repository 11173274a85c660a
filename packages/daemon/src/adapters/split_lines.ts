/** Joins chunks of UTF-8 text and yields whole lines; throws beyond `maxLength` without a line end. */
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
    const rest = pieces.at(-1) ?? "";
    parts.push(rest);
    length += rest.length;
    if (length > maxLength) {
      throw new Error(`line longer than ${maxLength} characters`);
    }
  }
}
