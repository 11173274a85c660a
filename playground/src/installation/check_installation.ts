import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";

const SCRIPT = resolve("scripts/install.sh");
const { platform, arch, version } = process;
/** Machines that packages were installed on, and whether those are installed anew here. */
const CASES = [
  { name: "another kind of machine", stamp: `${platform} other ${version}\n`, isInstalled: true },
  { name: "an unknown machine", stamp: "", isInstalled: true },
  { name: "this machine", stamp: `${platform} ${arch} ${version}\n`, isInstalled: false },
];

/**
 * Runs the installation over packages of other machines; returns what is wrong. It guards against a
 * build that fails with them and leaves the program of an earlier build in its place.
 */
export function checkInstallation(directory: string): string[] {
  return CASES.flatMap(({ name, stamp, isInstalled }, index) => {
    const checkout = join(directory, String(index));
    mkdirSync(join(checkout, "node_modules"), { recursive: true });
    writeFileSync(join(checkout, "package-lock.json"), "{}");
    writeFileSync(join(checkout, "node_modules/.installed"), stamp);
    writeFileSync(join(checkout, "npm"), "#!/bin/sh\ntouch installed\n", { mode: 0o755 });
    const { status, stderr } = spawnSync("sh", [SCRIPT], {
      cwd: checkout,
      env: { ...process.env, PATH: `${checkout}:${process.env["PATH"]}` },
      encoding: "utf8",
    });
    if (status !== 0) {
      return [`packages of ${name}: the installation ended with ${status}: ${stderr}`];
    }
    return existsSync(join(checkout, "installed")) === isInstalled
      ? []
      : [`packages of ${name} are ${isInstalled ? "used" : "installed anew"}`];
  });
}
