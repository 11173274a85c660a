import { expect } from "chai";
import fc from "fast-check";
import { pack } from "msgpackr";
import { readReportIdentity } from "./read_report_identity.ts";

const NAMES = fc.string({ maxLength: 60, unit: "grapheme" });

describe("readReportIdentity", () => {
  it("reads what the whole report contains", () => {
    fc.assert(fc.property(
      NAMES,
      NAMES,
      fc.integer({ min: 0, max: 2 ** 32 - 1 }),
      fc.integer({ min: 0, max: 30 }),
      (host, incarnation, sequence, more) => {
        const identity = readReportIdentity(pack([host, incarnation, sequence, ...Array(more)]));
        // Names of over 255 bytes are read with the whole report.
        const isLong = [host, incarnation].some((name) => Buffer.byteLength(name) > 255);
        expect(identity).to.deep.equal(isLong ? undefined : { host, incarnation, sequence });
      },
    ));
  });

  it("reads nothing from bytes that are cut or no report", () => {
    const bytes = pack(["host-1", "incarnation", 70_000]);
    for (let length = 0; length < bytes.length; length++) {
      expect(readReportIdentity(bytes.subarray(0, length))).to.equal(undefined);
    }
    for (const value of [null, 5, "x", {}, [1, 2, 3], ["h", "i", -1], ["h", "i", 2 ** 40]]) {
      expect(readReportIdentity(pack(value))).to.equal(undefined);
    }
  });

  it("does not throw on any bytes", () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 40 }), (bytes) => {
      readReportIdentity(bytes);
    }));
  });
});
