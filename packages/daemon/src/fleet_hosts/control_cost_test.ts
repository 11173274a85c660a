import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { createTestFleet } from "./testing/create_test_fleet.ts";

const HOSTS = 73;
const DATA_CENTRES = 4;
const PLACEMENTS = 240;
const SECONDS = 4;
/** Reported upstreams of a host in a fleet of this size, see `describeLoads`. */
const REPORTED_UPSTREAMS = 4;
/** What b69a732 sent in this test, a second. */
const FORMER = { datagrams: 2_955, bytes: 1_840_000 };

describe("the cost of reports in a fleet of 73 hosts with 60 placements a second", function () {
  this.timeout(60_000);

  it("stays below 0.55 of the former datagrams and 0.4 of the former bytes", async () => {
    const { hosts, loads, sent, run } = await createTestFleet({
      hosts: HOSTS,
      dataCentres: DATA_CENTRES,
      reportedUpstreams: REPORTED_UPSTREAMS,
    });
    const random = createSeededRandom(7);
    Object.assign(sent, { datagrams: 0, bytes: 0 });
    const ending: number[] = [];
    for (let placement = 0; placement < PLACEMENTS; placement++) {
      const index = random.nextInteger(HOSTS);
      loads.set(index, [["engine-1", 1, 3_000, 3_000]]);
      hosts[index]?.scheduleUrgentReport();
      ending.push(index);
      // Each placement is followed by the ends of its prefill and of its generation.
      for (const delay of [25, 90]) {
        const changed = ending[placement - delay];
        changed === undefined || hosts[changed]?.scheduleReport();
      }
      await run(SECONDS * 1_000 / PLACEMENTS);
    }
    console.log(`    ${sent.datagrams / SECONDS} datagrams, ${sent.bytes / SECONDS} B a second`);
    expect(sent.datagrams / SECONDS).to.be.at.most(0.55 * FORMER.datagrams);
    expect(sent.bytes / SECONDS).to.be.at.most(0.4 * FORMER.bytes);
  });
});
