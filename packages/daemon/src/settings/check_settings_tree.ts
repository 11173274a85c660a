import type {
  FleetServicesSettings,
  HostSettings,
  ModelSettings,
  TeamAccessSettings,
  TeamKeysSettings,
  TeamServicesSettings,
  UpstreamSettings,
} from "@crocussail/protocol";
import { locateIniLine } from "../common/locate_ini_line.ts";
import { parseSettingsValue } from "./parse_settings_value.ts";
import type { SettingsFinding } from "./settings_finding.ts";

interface Tree {
  readonly texts: ReadonlyMap<string, string>;
  readonly hosts: ReadonlyMap<string, HostSettings>;
  readonly upstreams: ReadonlyMap<string, UpstreamSettings>;
  readonly models: ReadonlyMap<string, ModelSettings>;
  readonly services: FleetServicesSettings;
  readonly values: ReadonlyMap<string, unknown>;
}

/**
 * Checks a whole settings tree, given as INI text by path: first each value by itself, then the
 * references between values. Daemons reject only values that are invalid by themselves; a finding
 * about a reference is a warning.
 */
export function checkSettingsTree(texts: ReadonlyMap<string, string>): SettingsFinding[] {
  const values = new Map<string, unknown>();
  const findings: SettingsFinding[] = [];
  for (const [path, text] of texts) {
    parseSettingsValue(path, text).caseOf({
      Left: (faults) => {
        findings.push(...faults);
      },
      Right: (value) => {
        values.set(path, value);
      },
    });
  }
  const listByPrefix = <Value>(prefix: string) =>
    new Map(
      [...values].flatMap(([path, value]) =>
        path.startsWith(prefix) ? [[path.slice(prefix.length), value as Value] as const] : []
      ),
    );
  const tree: Tree = {
    texts,
    values,
    hosts: listByPrefix<HostSettings>("hosts/"),
    upstreams: listByPrefix<UpstreamSettings>("upstreams/"),
    models: listByPrefix<ModelSettings>("models/"),
    services: (values.get("fleet/services") ?? {}) as FleetServicesSettings,
  };
  return [
    ...findings,
    ...checkUpstreams(tree),
    ...checkTeams(tree),
    ...checkKeyHashes(tree),
    ...checkAddresses(tree),
  ];
}

function buildFinding(
  tree: Tree,
  path: string,
  name: readonly string[],
  message: string,
  advice: string,
): SettingsFinding {
  const line = locateIniLine(tree.texts.get(path) ?? "", name);
  return { path, line, name: name.join("."), message, advice };
}

function checkUpstreams(tree: Tree): SettingsFinding[] {
  const centres = new Set([...tree.hosts.values()].map((host) => host.dataCentre));
  return [...tree.upstreams].flatMap(([name, upstream]) => {
    const path = `upstreams/${name}`;
    const findings: SettingsFinding[] = [];
    const report = (key: string, message: string, advice: string) =>
      findings.push(buildFinding(tree, path, [key], message, advice));
    if (centres.size > 0 && !centres.has(upstream.dataCentre)) {
      const known = [...centres].sort().join(", ");
      report(
        "data_centre",
        `no host is in data centre "${upstream.dataCentre}"`,
        `use one of ${known}`,
      );
    }
    if (upstream.kind === "service" && upstream.service === undefined) {
      report("service", "a service upstream has no service name", "add `service = ...`");
    }
    for (const model of upstream.models ?? []) {
      if (!tree.models.has(model)) {
        report("models", `model "${model}" is not published`, `publish models/${model}`);
      }
    }
    return findings;
  });
}

function checkTeams(tree: Tree): SettingsFinding[] {
  const adapters = new Set([...tree.models.values()].flatMap((model) => model.adapters));
  const services = new Set([
    ...Object.keys(tree.services),
    ...[...tree.upstreams.values()].flatMap((upstream) => upstream.service ?? []),
  ]);
  return [...tree.values].flatMap(([path, value]) => {
    if (/^teams\/[^/]+\/access$/.test(path)) {
      const access = value as TeamAccessSettings;
      return [
        ...access.models.filter((model) => !tree.models.has(model)).map((model) =>
          buildFinding(
            tree,
            path,
            ["models"],
            `model "${model}" is not published`,
            `publish models/${model}, or remove it here`,
          )
        ),
        ...access.adapters.filter((adapter) => !adapters.has(adapter)).map((adapter) =>
          buildFinding(
            tree,
            path,
            ["adapters"],
            `no model has adapter "${adapter}"`,
            "add it to a model's `adapters`, or remove it here",
          )
        ),
      ];
    }
    if (/^teams\/[^/]+\/services$/.test(path)) {
      return Object.keys(value as TeamServicesSettings)
        .filter((service) => !services.has(service))
        .map((service) =>
          buildFinding(
            tree,
            path,
            [service],
            `no upstream serves "${service}"`,
            "publish an upstream with `kind = service`, or remove the section",
          )
        );
    }
    return [];
  });
}

function checkKeyHashes(tree: Tree): SettingsFinding[] {
  const owners = new Map<string, string>();
  return [...tree.values].flatMap(([path, value]) => {
    if (!/^teams\/[^/]+\/keys$/.test(path)) {
      return [];
    }
    return Object.entries(value as TeamKeysSettings).flatMap(([name, key]) => {
      const owner = owners.get(key.sha256);
      owners.set(key.sha256, owner ?? `${path} [${name}]`);
      return owner === undefined ? [] : [
        buildFinding(
          tree,
          path,
          [name, "sha256"],
          `the same key hash is already used at ${owner}`,
          "assign each key to one team only",
        ),
      ];
    });
  });
}

function checkAddresses(tree: Tree): SettingsFinding[] {
  const owners = new Map<string, string>();
  return [...tree.hosts].flatMap(([name, host]) => {
    const address = `${host.address} port ${host.peerPort}`;
    const owner = owners.get(address);
    owners.set(address, owner ?? name);
    return owner === undefined ? [] : [
      buildFinding(
        tree,
        `hosts/${name}`,
        ["address"],
        `host "${owner}" has the same ${address}`,
        "correct one of the two",
      ),
    ];
  });
}
