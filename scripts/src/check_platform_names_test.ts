import { expect } from "chai";
import { checkPlatformNames } from "./check_platform_names.ts";

const names = new Set(["job-id", "/take-job"]);

describe("checkPlatformNames", () => {
  it("reports a header name in any case and a path, with their line numbers", () => {
    const text = 'const a = 1;\nheaders.get("JOB-ID");\ncall(`/take-job`);\n';
    const findings = checkPlatformNames({ path: "packages/daemon/src/a.ts", text }, names);
    expect(findings.map(({ line }) => line)).to.deep.equal([2, 3]);
  });

  it("accepts names in platform/ and as part of a longer text", () => {
    const text = 'headers.get("Job-Id");';
    expect(checkPlatformNames({ path: "platform/src/a.ts", text }, names)).to.deep.equal([]);
    const other = { path: "packages/a.ts", text: 'log("a job-id of ours")' };
    expect(checkPlatformNames(other, names)).to.deep.equal([]);
  });
});
