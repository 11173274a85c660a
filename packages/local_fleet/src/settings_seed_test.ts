import { createProcessDaemon, resolveDaemonConfig } from "@crocussail/daemon";
import type { Daemon } from "@crocussail/daemon";
import { stateDumpSchema } from "@crocussail/protocol";
import { expect } from "chai";
import { request } from "undici";
import { createLocalFleet } from "./create_local_fleet.ts";
import type { LocalFleet } from "./create_local_fleet.ts";
import { formatDaemonSettings } from "./format_daemon_settings.ts";

const LOG_LEVEL_ERROR = 0;

describe("daemon that starts without the settings service", () => {
  let fleet: LocalFleet;
  let daemon: Daemon | undefined;

  before(async () => {
    fleet = await createLocalFleet({ hosts: 2 });
  });
  after(async () => {
    await daemon?.stop();
    await fleet.close();
  });

  const startDaemonWithSeeds = async () => {
    const text = formatDaemonSettings({
      host: "host-9",
      dataCentre: "toledo",
      settingsUrl: fleet.settingsService.url,
      operatorToken: fleet.operatorToken,
    });
    const seeds = fleet.daemons.map(({ daemon: { host }, ports }) =>
      `${host}@127.0.0.1:${ports.peer}`
    );
    const source = { file: "host-9.ini", text: `${text}\n[peers]\nseeds = ${seeds.join(", ")}\n` };
    daemon = createProcessDaemon(resolveDaemonConfig(source).unsafeCoerce(), {
      logLevel: LOG_LEVEL_ERROR,
    });
    const ports = await daemon.start();
    const answer = await request(`http://127.0.0.1:${ports.operator}/state`, {
      headers: { authorization: `Bearer ${fleet.operatorToken}` },
    });
    return stateDumpSchema.parse(await answer.body.json());
  };

  for (
    const [title, prepare] of [
      ["down", () => fleet.settingsService.setDown(true)],
      ["stale", () => fleet.settingsService.setStale(1)],
    ] as const
  ) {
    it(`loads the newest settings from its seed peers while the service is ${title}`, async () => {
      prepare();
      const dump = await startDaemonWithSeeds();
      const settings = dump.slices["settings"] as { revision: number; isReady: boolean };
      expect(settings.isReady).to.equal(true);
      expect(settings.revision).to.be.above(1);
      await daemon?.stop();
      fleet.settingsService.setDown(false);
      fleet.settingsService.setStale(undefined);
    });
  }
});
