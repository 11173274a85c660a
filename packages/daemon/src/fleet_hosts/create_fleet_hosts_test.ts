import { expect } from "chai";
import type { FleetHosts } from "./create_fleet_hosts.ts";
import { createTestFleet } from "./testing/create_test_fleet.ts";

/** Largest average rate at which one host sends datagrams, in datagrams per second. */
const MAX_SENT_PER_SECOND = 80;

describe("a fleet of hosts", () => {
  for (const count of [8, 80]) {
    it(`discovers all hosts from three seeds, with ${count} hosts`, async () => {
      const { hosts } = await createTestFleet({ hosts: count });
      hosts.forEach((host) => expect(host.listLive()).to.have.length(count - 1));
    });

    it(`reports a new load in 20 ms and its end in the report interval, with ${count} hosts`, async () => {
      const { hosts, run, loads, reportsByHost } = await createTestFleet({ hosts: count });
      loads.set(4, [["engine-1", 1, 3_000, 3_000]]);
      hosts[4]?.scheduleUrgentReport();
      await run(20);
      const readLoads = () =>
        [...reportsByHost].filter(([index]) => index !== 4).map(([, reports]) =>
          reports.get("h4")?.loads
        );
      const known = readLoads().filter((reported) => reported?.length === 1);
      expect(known.length).to.be.at.least(0.9 * (count - 1)); // 1 datagram in 100 is lost
      loads.set(4, []);
      hosts[4]?.scheduleReport();
      await run(count === 8 ? 300 : 1_100);
      expect(readLoads().filter((reported) => reported?.length === 0).length)
        .to.be.at.least(0.9 * (count - 1));
    });

    it(`does not list a host that has stopped, with ${count} hosts`, async () => {
      const { hosts, run } = await createTestFleet({ hosts: count });
      hosts[count - 1]?.stop();
      await run(count === 8 ? 1_300 : 3_000);
      const listed = hosts.slice(0, -1).flatMap((host) => host.listLive()).map(({ host }) => host);
      expect(listed).not.to.include(`h${count - 1}`);
      // Of 6,162 pairs, one in 10,000 loses two reports in a row and does not list a host for a second.
      expect(listed.length).to.be.at.least(0.999 * (count - 1) * (count - 2));
    });
  }

  it("discovers a host at once when it restarts after 15 s, with 80 hosts", async () => {
    const { hosts, starts, run } = await createTestFleet({ hosts: 80 });
    hosts[40]?.stop();
    await run(15_000);
    const restarted = starts[40]?.("i2") as FleetHosts;
    await restarted.start();
    await run(400);
    expect(restarted.listLive().length).to.be.at.least(75); // 1 datagram in 100 is lost
    const listing = hosts.filter((host, index) =>
      index !== 40 && host.listLive().some(({ incarnation }) => incarnation === "i2")
    );
    expect(listing.length).to.be.at.least(75);
  }).timeout(20_000);

  it("limits the average rate of regular reports of a host, with 80 hosts", async () => {
    const { sent, run } = await createTestFleet({ hosts: 80 });
    sent.datagrams = 0;
    sent.bytes = 0;
    await run(4_000);
    const perHost = sent.datagrams / 80 / 4;
    console.log(`    ${perHost.toFixed(0)} datagrams, ${(sent.bytes / 320).toFixed(0)} B/s a host`);
    expect(perHost).to.be.at.most(1.1 * MAX_SENT_PER_SECOND);
  });
});
