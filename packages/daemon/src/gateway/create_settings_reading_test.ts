import { expect } from "chai";
import { createManualClock } from "../common/create_manual_clock.ts";
import { GATEWAY_LIMITS } from "./constants.ts";
import { createSettingsReading } from "./create_settings_reading.ts";

const SETTINGS_MS = 2_000;
/** Time in which a call without a response ends after its wait. */
const SILENCE_MS = 500;

describe("reading the settings", () => {
  const create = (isLeadingReader: boolean, isConfirmed: boolean, isBehind: boolean) => {
    const clock = createManualClock();
    const reading = createSettingsReading({
      clock,
      isLeadingReader: () => isLeadingReader,
      isConfirmed: () => isConfirmed,
      isBehind: () => isBehind,
    });
    return { clock, reading };
  };

  it("waits for long only on a host that others would tell of a later version", () => {
    const waits = [true, false].flatMap((isLeading) =>
      [true, false].flatMap((isConfirmed) =>
        [true, false].map((isBehind) => {
          const waitMs = create(isLeading, isConfirmed, isBehind).reading.computePollTimeout();
          return { isShort: waitMs + SILENCE_MS < SETTINGS_MS, isLeading, isConfirmed, isBehind };
        })
      )
    );
    expect(waits.filter(({ isShort }) => !isShort)).to.deep.equal([
      { isShort: false, isLeading: false, isConfirmed: true, isBehind: false },
    ]);
  });

  it("is recent until a silent connection has had the time to show", () => {
    const { clock, reading } = create(true, true, false);
    clock.advance(10_000);
    expect(reading.isRecent()).to.equal(false);
    reading.recordRead(9_000);
    reading.recordRead(8_000);
    expect([reading.computeAge(), reading.isRecent()]).to.deep.equal([1_000, true]);
    clock.advance(GATEWAY_LIMITS.maxSettingsAgeMs);
    expect(reading.isRecent()).to.equal(false);
  });
});
