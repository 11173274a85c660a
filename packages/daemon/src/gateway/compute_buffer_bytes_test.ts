import { expect } from "chai";
import { computeBufferBytes } from "./compute_buffer_bytes.ts";

const MIB = 1_048_576;

describe("computeBufferBytes", () => {
  for (const [memoryMb, mib] of [[64, 12], [88, 12], [128, 12], [200, 17], [600, 32]] as const) {
    it(`grants ${mib} MiB of ${memoryMb} MB`, () => {
      expect(computeBufferBytes(memoryMb)).to.equal(mib * MIB);
    });
  }
});
