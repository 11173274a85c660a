import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createHeadMeter } from "./create_head_meter.ts";
import { findExpendableConnection } from "./find_expendable_connection.ts";
import type { GuardedConnection } from "./guarded_connection.ts";

describe("findExpendableConnection", () => {
  const NOW_MS = 10_000;
  const make = (
    activeAtMs: number,
    requests: readonly ("complete" | "arriving")[] | undefined,
  ): GuardedConnection => ({
    socket: {} as Socket,
    listener: "callers",
    head: createHeadMeter(),
    activeAtMs,
    ...{ unsentBytes: 0, unsentSinceMs: 0 },
    hasBegun: requests !== undefined,
    open: new Map(
      (requests ?? []).map((state) => [
        {} as ServerResponse,
        { complete: state === "complete" } as IncomingMessage,
      ]),
    ),
  });
  const silent = make(9_990, undefined);
  const laterSilent = make(9_995, undefined);
  const arriving = make(8_000, ["arriving"]);
  const justArriving = make(9_500, ["arriving"]);
  const idle = make(1_000, []);
  const laterIdle = make(2_000, []);
  const handled = make(0, ["complete"]);
  const handledAndArriving = make(0, ["complete", "arriving"]);

  for (
    const [title, connections, expected] of [
      ["one without a request", [idle, arriving, silent, laterSilent], silent],
      ["one on which a body has been arriving for long", [laterIdle, arriving, idle], arriving],
      ["the one that has been idle for longest", [laterIdle, justArriving, idle, handled], idle],
      ["none whose request is being handled", [handled, handledAndArriving], undefined],
      ["none whose body has just begun", [justArriving], undefined],
    ] as const
  ) {
    it(`finds ${title}`, () => {
      expect(findExpendableConnection(connections, NOW_MS)).to.equal(expected);
    });
  }
});
