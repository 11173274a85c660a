import { createProcessDaemon, resolveDaemonConfig } from "@crocussail/daemon";
import { createSettingsService } from "@crocussail/stand_ins";
import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { formatDaemonSettings } from "./format_daemon_settings.ts";

const UNUSED_ADDRESS = "192.0.2.1";

describe("a daemon that cannot listen", () => {
  const taken = createServer();
  let settingsUrl: string;
  let closeSettings: () => Promise<void>;

  before(async () => {
    const service = await createSettingsService({ values: {} });
    settingsUrl = service.url;
    closeSettings = service.close;
    await new Promise<void>((resolve) => taken.listen(0, "127.0.0.1", resolve));
  });

  after(async () => {
    taken.close();
    await closeSettings();
  });

  const startWith = async (change: (text: string) => string) => {
    const text = change(formatDaemonSettings({
      host: "host-1",
      dataCentre: "toledo",
      settingsUrl,
      operatorToken: "local-operator-token",
    }));
    const config = resolveDaemonConfig({ file: "host-1.ini", text }).unsafeCoerce();
    const daemon = createProcessDaemon(config, { logLevel: 0 });
    const failure = await daemon.start().then(() => "started", (error: Error) => error.message);
    await daemon.stop();
    return failure;
  };

  for (const name of ["caller_port", "peer_port", "operator_port"]) {
    it(`names listen.${name} in the error when its port is in use`, async () => {
      const { port } = taken.address() as AddressInfo;
      const failure = await startWith((text) => text.replace(`${name} = 0`, `${name} = ${port}`));
      expect(failure).to.contain(`listen.${name}: 127.0.0.1 port ${port} is taken`);
      expect(failure).to.contain(`set another listen.${name}`);
    });
  }

  it("names an address in the error when the machine does not have it", async () => {
    const failure = await startWith((text) =>
      text.replace("address = 127.0.0.1", `address = ${UNUSED_ADDRESS}`)
    );
    expect(failure).to.contain(`listen.address: ${UNUSED_ADDRESS} is no address of this machine`);
  });
});
