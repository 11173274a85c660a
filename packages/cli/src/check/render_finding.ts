import type { SettingsFinding } from "@crocussail/daemon";

/** Renders a finding as `file:line: name: message; advice`. */
export function renderFinding(finding: SettingsFinding & { readonly file: string }): string {
  const place = `${finding.file}:${finding.line}`;
  const parts = [place, finding.name, finding.message].filter((part) => part !== "");
  return finding.advice === "" ? parts.join(": ") : `${parts.join(": ")}; ${finding.advice}`;
}
