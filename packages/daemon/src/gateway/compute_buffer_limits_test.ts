import { expect } from "chai";
import { computeBufferLimits } from "./compute_buffer_limits.ts";

const MIB = 1_048_576;

describe("computeBufferLimits", () => {
  for (const [memoryMb, mib] of [[64, 12], [88, 12], [128, 12], [200, 17], [600, 32]] as const) {
    it(`grants ${mib} MiB of ${memoryMb} MB to bodies`, () => {
      const limits = computeBufferLimits(memoryMb);
      expect(limits.bodyBytes).to.equal(mib * MIB);
      expect(limits.answerBytes).to.be.at.least(8 * MIB);
      expect(limits.unsentBytes).to.be.at.least(6 * MIB);
    });
  }
});
