import { expect } from "chai";
import { createTestFleet } from "./testing/create_test_fleet.ts";

const HOSTS = 73;
const DATA_CENTRES = 4;
/** Time in which regular reports and, after a lost batch, the next ones have arrived. */
const SETTLE_MS = 3_000;
const ROUNDS = 3;
/** Time below that in which the hosts notice that a relay is gone. */
const DETECTION_MS = 2_000;

describe("a fleet whose first relays are of the former build", function () {
  this.timeout(60_000);

  // The first hosts of each data centre are large, so they are relays and seeds.
  const isFormerBuild = (index: number) => index < DATA_CENTRES;
  const listIndexes = () => Array.from({ length: HOSTS }, (_, index) => index);
  const current = listIndexes().filter((index) => !isFormerBuild(index));

  // Before, 9 in 10 of these reports lacked the fields: each host of this build then took itself for
  // the only one that knows cold times and granted the whole cold rate.
  it("passes the version and the cold upstreams of each host of this build to the others", async () => {
    const fleet = await createTestFleet({
      hosts: HOSTS,
      dataCentres: DATA_CENTRES,
      isFormerBuild,
      listCold: (index) => [["engine-1", index, 500]],
    });
    for (let round = 0; round < ROUNDS; round++) {
      await fleet.run(SETTLE_MS);
      const reports = current.flatMap((index) =>
        fleet.hosts[index]?.listLive().filter(({ host }) =>
          host !== `h${index}` && !isFormerBuild(Number(host.slice(1)))
        ) ?? []
      );
      expect(reports.length).to.be.at.least(0.99 * current.length * (current.length - 1));
      expect(reports.filter(({ protocolVersion }) => protocolVersion !== 1)).to.deep.equal([]);
      const whole = reports.filter(({ cold }) => cold.length === 1);
      expect(whole.length / reports.length).to.be.at.least(0.95);
    }
  });

  it("lets each host of the former build know all others, by datagrams that it reads", async () => {
    const fleet = await createTestFleet({ hosts: HOSTS, dataCentres: DATA_CENTRES, isFormerBuild });
    await fleet.run(SETTLE_MS);
    const former = fleet.hosts.filter((_host, index) => isFormerBuild(index));
    former.forEach((host) => expect(host.listLive().length).to.be.at.least(0.95 * (HOSTS - 1)));
    expect(fleet.unread).to.deep.equal([]);
  });

  it("knows no host of the former build as one of this build", async () => {
    const fleet = await createTestFleet({ hosts: HOSTS, dataCentres: DATA_CENTRES, isFormerBuild });
    const versions = current.flatMap((index) =>
      fleet.hosts[index]?.listLive().filter(({ host }) => isFormerBuild(Number(host.slice(1)))) ??
        []
    ).map(({ protocolVersion }) => protocolVersion);
    expect(versions.length).to.be.at.least(0.95 * current.length * DATA_CENTRES);
    expect(new Set(versions)).to.deep.equal(new Set([0]));
  });

  // Relays of the former build go on forwarding; that must not count as the forwarding of a report.
  it("passes them on when the first relays of this build are cut off", async () => {
    const fleet = await createTestFleet({
      hosts: HOSTS,
      dataCentres: DATA_CENTRES,
      isFormerBuild,
      listCold: (index) => [["engine-1", index, 500]],
    });
    // The second large host of each data centre, the first one of this build.
    const relays = [20, 21, 22, 23];
    relays.forEach((index) => fleet.cut.add(index));
    await fleet.run(DETECTION_MS);
    const others = current.filter((index) => !relays.includes(index));
    const reports = others.flatMap((index) =>
      fleet.hosts[index]?.listLive().filter(({ host }) => {
        const other = Number(host.slice(1));
        return other !== index && others.includes(other);
      }) ?? []
    );
    expect(reports.length).to.be.at.least(0.99 * others.length * (others.length - 1));
    const whole = reports.filter(({ cold }) => cold.length === 1);
    expect(whole.length / reports.length).to.be.at.least(0.95);
  });
});
