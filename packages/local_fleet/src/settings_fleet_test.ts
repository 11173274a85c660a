import { stateDumpSchema } from "@crocussail/protocol";
import { expect } from "chai";
import { request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";

interface SettingsDump {
  readonly hash: string;
  readonly revision: number;
  readonly isReady: boolean;
  readonly service: { readonly isWatching: boolean; readonly behindBy: number };
  readonly paths: Record<string, { acceptedRevision: number; rejection?: unknown } | undefined>;
}

const DAEMONS = 8;
const POLL_MS = 20;
const PATH = "models/plan-70b";

describe("settings of 8 daemons over sockets", () => {
  let fleet: LocalFleet;

  before(async () => {
    fleet = await createLocalFleet({ hosts: DAEMONS });
  });
  after(() => fleet.close());

  const fetchDumps = () =>
    Promise.all(fleet.daemons.map(async ({ ports }) => {
      const answer = await request(`http://127.0.0.1:${ports.operator}/state`, {
        headers: { authorization: `Bearer ${fleet.operatorToken}` },
      });
      const { slices } = stateDumpSchema.parse(await answer.body.json());
      return slices["settings"] as SettingsDump;
    }));
  /** Polls until a condition is met on every daemon; mocha's timeout limits the wait. */
  const waitForAll = async (isDone: (dump: SettingsDump) => boolean) => {
    let dumps = await fetchDumps();
    while (!dumps.every(isDone)) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      dumps = await fetchDumps();
    }
    return dumps;
  };
  const isAccepted = (revision: number) => (dump: SettingsDump) =>
    dump.paths[PATH]?.acceptedRevision === revision;

  it("makes a value active on every daemon, with the same settings hash", async () => {
    const revision = fleet.settingsService.putValue(PATH, "version = 2\nreplicas = 2\n");
    const dumps = await waitForAll(isAccepted(revision));
    expect(dumps.every((dump) => dump.isReady)).to.equal(true);
    expect(new Set(dumps.map((dump) => dump.hash)).size).to.equal(1);
  });

  it("keeps the last accepted value and reports the rejection of a newer one", async () => {
    const accepted = (await fetchDumps())[0]?.paths[PATH]?.acceptedRevision;
    fleet.settingsService.putValue(PATH, "verson = 3\n");
    const dumps = await waitForAll((dump) => dump.paths[PATH]?.rejection !== undefined);
    expect(dumps.map((dump) => dump.paths[PATH]?.acceptedRevision))
      .to.deep.equal(Array.from({ length: DAEMONS }, () => accepted));
  });

  it("reads settings again after an outage if missed changes were compacted", async () => {
    fleet.settingsService.setDown(true);
    const revision = fleet.settingsService.putValue(PATH, "version = 4\nreplicas = 2\n");
    fleet.settingsService.compactChanges(revision);
    fleet.settingsService.setDown(false);
    await waitForAll(isAccepted(revision));
  });

  it("ignores a restored service until its revision exceeds the fleet's revision", async () => {
    const [before] = await fetchDumps();
    const fleetRevision = before?.revision ?? 0;
    fleet.settingsService.restoreRevision(fleetRevision - 2);
    await waitForAll((dump) => dump.service.behindBy > 0 || !dump.service.isWatching);
    expect((await fetchDumps()).every(isAccepted(fleetRevision))).to.equal(true);
    // Each put raises the revision of the restored service.
    const republished = "version = 5\nreplicas = 2\n";
    while (fleet.settingsService.putValue(PATH, republished) <= fleetRevision) {
      continue;
    }
    const dumps = await waitForAll((dump) =>
      (dump.paths[PATH]?.acceptedRevision ?? 0) > fleetRevision
    );
    expect(new Set(dumps.map((dump) => dump.hash)).size).to.equal(1);
  });
});
