import { expect } from "chai";
import { ADMISSION_LIMITS } from "./constants.ts";
import { createQueueOrder } from "./create_queue_order.ts";
import { createServedTokenCounts } from "./create_served_token_counts.ts";
import type { QueueEntry } from "./queue_entry.ts";
import { makeEntry } from "./testing/make_entry.ts";

function listInOrder(
  entries: readonly QueueEntry[],
  options: { served?: Record<string, number>; nowMs?: number } = {},
): string[] {
  const nowMs = options.nowMs ?? 0;
  const service = createServedTokenCounts();
  for (const [team, tokens] of Object.entries(options.served ?? {})) {
    service.recordTokens(team, tokens, nowMs);
  }
  const order = createQueueOrder(service, nowMs);
  return [...entries].sort(order.compareEntries).map(({ id }) => id);
}

describe("queue order", () => {
  const cases: [string, QueueEntry[], Parameters<typeof listInOrder>[1], string[]][] = [
    [
      "puts the more urgent class first",
      [makeEntry("plan"), makeEntry("status", { urgency: 0 })],
      {},
      ["status", "plan"],
    ],
    [
      "puts the team that was served fewer tokens first",
      [makeEntry("a", { team: "large" }), makeEntry("b", { team: "small" })],
      { served: { large: 9_000, small: 10 } },
      ["b", "a"],
    ],
    [
      "divides served tokens by the team's weight",
      [makeEntry("a", { team: "large", weight: 100 }), makeEntry("b", { team: "small" })],
      { served: { large: 9_000, small: 100 } },
      ["a", "b"],
    ],
    [
      "puts an entry with little slack before others of its class",
      [makeEntry("a", { arrivedMs: 9_000 }), makeEntry("b", { team: "large", deadlineMs: 12_000 })],
      { served: { large: 9_000 }, nowMs: 9_000 },
      ["b", "a"],
    ],
    [
      "keeps the more urgent class first, regardless of how long others have waited",
      [
        makeEntry("status", { urgency: 1, arrivedMs: 5 * ADMISSION_LIMITS.agingMs }),
        makeEntry("plan", { deadlineMs: 900_000 }),
      ],
      { nowMs: 5 * ADMISSION_LIMITS.agingMs },
      ["status", "plan"],
    ],
  ];
  for (const [title, entries, options, expected] of cases) {
    it(title, () => {
      expect(listInOrder(entries, options)).to.deep.equal(expected);
    });
  }

  it("finds the longest waiting entry once it has waited for agingMs", () => {
    const entries = [makeEntry("new", { arrivedMs: 10 }), makeEntry("old")];
    const findLongestWaiting = (nowMs: number) =>
      createQueueOrder(createServedTokenCounts(), nowMs).findLongestWaiting(entries)?.id;
    expect(findLongestWaiting(ADMISSION_LIMITS.agingMs - 1)).to.equal(undefined);
    expect(findLongestWaiting(ADMISSION_LIMITS.agingMs)).to.equal("old");
  });

  it("shares tokens evenly between a team with many requests and a team with few", () => {
    const service = createServedTokenCounts();
    const tokens: Record<string, number> = { heavy: 0, light: 0 };
    for (let nowMs = 0; nowMs < 100_000; nowMs += 1_000) {
      const entries = [
        ...Array.from({ length: 20 }, (_, index) => makeEntry(`h${index}`, { team: "heavy" })),
        makeEntry("l", { team: "light", arrivedMs: nowMs }),
      ].map((entry) => ({ ...entry, arrivedMs: nowMs, deadlineMs: nowMs + 60_000 }));
      const first = createQueueOrder(service, nowMs).findFirst(entries) as QueueEntry;
      const length = first.team === "heavy" ? 400 : 100;
      service.recordTokens(first.team, length, nowMs);
      tokens[first.team] = (tokens[first.team] ?? 0) + length;
    }
    const ratio = (tokens.heavy as number) / (tokens.light as number);
    expect(ratio).to.be.within(0.75, 1.34);
  });
});
