import { expect } from "chai";
import fc from "fast-check";
import type { PublishedSettings } from "../adapters/deployment_feed.ts";
import { isNewerSettings } from "./is_newer_settings.ts";

const publish = (era: number, revision: number, version: number): PublishedSettings => ({
  era,
  revision,
  settings: {
    version,
    routes: new Map(),
    services: new Map(),
    teams: undefined,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
});

describe("isNewerSettings", () => {
  const cases = [
    { title: "a later version", next: [1, 12, 3], isNewer: true },
    { title: "the same value read again", next: [1, 11, 2], isNewer: false },
    { title: "the same version written again", next: [1, 12, 2], isNewer: true },
    {
      title: "the same version in a later era, under an earlier revision",
      next: [2, 9, 2],
      isNewer: true,
    },
    { title: "an older version in a later era", next: [2, 12, 1], isNewer: false },
    {
      title: "a later version in a later era, under an earlier revision",
      next: [2, 9, 3],
      isNewer: true,
    },
    { title: "an older version under a later revision", next: [1, 12, 1], isNewer: false },
  ] as const;
  for (const { title, next: [era, revision, version], isNewer } of cases) {
    it(`${isNewer ? "accepts" : "ignores"} ${title}`, () => {
      expect(isNewerSettings(publish(era, revision, version), publish(1, 11, 2)))
        .to.equal(isNewer);
    });
  }

  it("accepts the first value", () => {
    expect(isNewerSettings(publish(1, 1, 1), undefined)).to.equal(true);
  });

  it("never returns to an older version, and ends at the last one written, over restores", () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant("write" as const) }),
      fc.record({ type: fc.constant("restore" as const), lost: fc.integer({ min: 0, max: 5 }) }),
      fc.record({ type: fc.constant("read" as const) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        let era = 1;
        let written = [publish(1, 1, 1)];
        let version = 1;
        let active: PublishedSettings | undefined;
        const read = () => {
          const next = written.at(-1) as PublishedSettings;
          const before = active?.settings.version ?? 0;
          active = isNewerSettings({ ...next, era }, active) ? { ...next, era } : active;
          expect(active?.settings.version).to.be.at.least(before);
        };
        const write = () => {
          version++;
          written.push(publish(era, (written.at(-1)?.revision ?? 0) + 1, version));
        };
        for (const current of steps) {
          if (current.type === "write") {
            write();
          } else if (current.type === "restore") {
            era++;
            written = written.slice(0, Math.max(1, written.length - current.lost));
          } else {
            read();
          }
        }
        write();
        read();
        expect(active?.settings.version).to.equal(version);
      }),
      { seed: 27 },
    );
  });
});
