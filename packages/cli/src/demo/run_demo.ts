import type { LocalFleet } from "@crocussail/local_fleet";
import { request } from "undici";

/** Sends a streaming request and an order to a local fleet; returns a line for each failure. */
export async function runDemo(
  fleet: LocalFleet,
  print: (line: string) => void,
): Promise<string[]> {
  const entry = await request(`${fleet.daemons[0]?.url}/v1/entry`);
  const { addresses, key_prefix: prefix } = await entry.body.json() as EntryAnswer;
  const urls = addresses.map(({ address, port }) => `http://${address}:${port}`);
  print(`entry: ${urls.join(", ")}`);
  const streamFailures = await showStream(fleet, urls[0] ?? "", print);
  const orderFailures = await showOrder(fleet, { urls, prefix }, print);
  print("next: docs/README.md has the reading order");
  return [...streamFailures, ...orderFailures];
}

interface EntryAnswer {
  readonly addresses: readonly { readonly address: string; readonly port: number }[];
  readonly key_prefix: string;
}

async function showStream(
  fleet: LocalFleet,
  url: string,
  print: (line: string) => void,
): Promise<string[]> {
  const answer = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${fleet.apiKey}`, "content-type": "application/json" },
    body: JSON.stringify({
      model: "plan-70b",
      messages: [{ role: "user", content: "Move empty containers to Toledo" }],
      stream: true,
    }),
  });
  const text = await answer.body.text();
  const tokens = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1] ?? "");
  print(`streamed response: ${tokens.join("")}`);
  return text.endsWith("data: [DONE]\n\n") ? [] : ["the stream did not end with [DONE]"];
}

async function showOrder(
  fleet: LocalFleet,
  entry: { urls: readonly string[]; prefix: string },
  print: (line: string) => void,
): Promise<string[]> {
  const statuses: number[] = [];
  for (const url of entry.urls.slice(1, 3)) {
    const answer = await request(`${url}/v1/services/stock/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${fleet.apiKey}`,
        "content-type": "application/json",
        "idempotency-key": `${entry.prefix}release-4711`,
      },
      body: JSON.stringify({ order: "release-4711" }),
    });
    statuses.push(answer.statusCode);
    print(`order at ${url}: ${answer.statusCode} ${await answer.body.text()}`);
  }
  const runs = fleet.service.getExecutionCounts().get("release-4711") ?? 0;
  print(`runs of the order at the service: ${runs}`);
  const failures = runs === 1 ? [] : [`the order ran ${runs} times`];
  return statuses.every((status) => status === 201)
    ? failures
    : [...failures, `statuses of the order responses: ${statuses.join(", ")}`];
}
