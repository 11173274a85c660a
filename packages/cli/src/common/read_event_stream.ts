/** One server-sent event. */
export interface ServerSentEvent {
  readonly id?: string;
  readonly event?: string;
  readonly data: string;
}

/** Parses a stream of server-sent events; an incomplete event at the end is dropped. */
export async function* readEventStream(
  chunks: AsyncIterable<unknown>,
): AsyncIterable<ServerSentEvent> {
  let buffered = "";
  for await (const chunk of chunks) {
    buffered += String(chunk);
    const blocks = buffered.split("\n\n");
    buffered = blocks.pop() ?? "";
    for (const block of blocks) {
      yield parseBlock(block);
    }
  }
}

function parseBlock(block: string): ServerSentEvent {
  const fields = block.split("\n").map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon), line.slice(colon + 1).replace(/^ /, "")] as const;
  });
  const data = fields.filter(([name]) => name === "data").map(([, value]) => value).join("\n");
  const id = fields.find(([name]) => name === "id")?.[1];
  const event = fields.find(([name]) => name === "event")?.[1];
  return {
    data,
    ...(id === undefined ? {} : { id }),
    ...(event === undefined ? {} : { event }),
  };
}
