import { expect } from "chai";
import { resolveDaemonConfig } from "./resolve_daemon_config.ts";

const VALID = `[host]
name = host-1
data_centre = toledo

[listen]
address = 127.0.0.1
caller_port = 8001
peer_port = 9001
operator_port = 7001

[settings_service]
urls = http://127.0.0.1:2379, http://127.0.0.2:2379

[fleet]
key = 0123456789abcdef0123456789abcdef

[operator]
token = 0123456789abcdef
`;

const resolveText = (text: string) => resolveDaemonConfig({ file: "daemon.ini", text });

describe("resolveDaemonConfig", () => {
  it("fills in defaults and freezes the result", () => {
    const config = resolveText(VALID).unsafeCoerce();
    expect(config.host.size).to.equal(1);
    expect(config.settingsService.urls).to.have.length(2);
    expect(config.fleetKeys).to.have.length(1);
    expect(Object.isFrozen(config)).to.equal(true);
  });

  it("accepts the previous key during a key rotation", () => {
    const previous = "fedcba9876543210fedcba9876543210";
    const text = VALID.replace("[operator]", `previous_key = ${previous}\n\n[operator]`);
    expect(resolveText(text).unsafeCoerce().fleetKeys[1]).to.equal(previous);
  });

  const cases: readonly { title: string; from: string; to: string; expected: string }[] = [
    {
      title: "a misspelt name and suggests the closest known name",
      from: "data_centre = toledo",
      to: "data_center = toledo",
      expected: 'daemon.ini:3: host.data_center: unknown name; did you mean "data_centre"?',
    },
    {
      title: "a misspelt section and suggests the closest known section",
      from: "[settings_service]",
      to: "[settings_servce]",
      expected: 'daemon.ini:11: settings_servce: unknown name; did you mean "settings_service"?',
    },
    {
      title: "a port out of range",
      from: "caller_port = 8001",
      to: "caller_port = 80011",
      expected: "daemon.ini:7: listen.caller_port: Too big: expected number to be <=65535",
    },
    {
      title: "a host name instead of an IP address",
      from: "address = 127.0.0.1",
      to: "address = localhost",
      expected: "daemon.ini:6: listen.address: expected an IP address",
    },
    {
      title: "a missing value at the line of its section",
      from: "token = 0123456789abcdef",
      to: "",
      expected: "daemon.ini:17: operator.token: value is missing; add it",
    },
    {
      title: "a missing section",
      from: "[operator]\ntoken = 0123456789abcdef",
      to: "",
      expected: "daemon.ini:1: operator: section is missing; add it",
    },
  ];
  for (const { title, from, to, expected } of cases) {
    it(`reports ${title}`, () => {
      const error = resolveText(VALID.replace(from, to)).swap().unsafeCoerce();
      expect(error.code).to.equal("invalidSettingsFile");
      expect(error.detail.split("\n")).to.include(expected);
    });
  }
});
