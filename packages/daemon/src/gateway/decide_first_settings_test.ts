import { expect } from "chai";
import { decideFirstSettings } from "./decide_first_settings.ts";

describe("decideFirstSettings", () => {
  const cases: readonly (readonly [string, readonly number[], boolean, "apply" | "wait"])[] = [
    ["applies the version that the other hosts have", [3, 3], true, "apply"],
    ["applies a later version than theirs", [2, 0], true, "apply"],
    ["waits with an older version than any of theirs", [3, 4], true, "wait"],
    ["waits with an older version also when it knows the fleet", [4], false, "wait"],
    ["waits with any version while it may not know the other hosts", [], true, "wait"],
    ["applies any version when it is alone", [], false, "apply"],
  ];
  for (const [title, versionsElsewhere, isDiscovering, expected] of cases) {
    it(title, () => {
      expect(decideFirstSettings({ version: 3, versionsElsewhere, isDiscovering }))
        .to.equal(expected);
    });
  }
});
