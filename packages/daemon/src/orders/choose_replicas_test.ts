import { expect } from "chai";
import { chooseReplicas } from "./choose_replicas.ts";

const createHosts = (dataCentres: string[]) =>
  dataCentres.map((dataCentre, index) => ({ host: `host-${index}`, dataCentre }));

describe("choice of replicas", () => {
  const table: [
    name: string,
    dataCentres: string[],
    hostCount: number,
    dataCentreCount: number,
  ][] = [
    ["three data centres", ["a", "a", "b", "b", "c", "d"], 3, 3],
    ["two data centres", ["a", "a", "b"], 3, 2],
    ["one data centre", ["a", "a", "a", "a"], 3, 1],
    ["two hosts", ["a", "b"], 2, 2],
    ["one host", ["a"], 1, 1],
  ];
  for (const [name, dataCentres, hosts, dataCentreCount] of table) {
    it(`spreads the replicas over ${name}`, () => {
      for (let seed = 0; seed < 20; seed++) {
        const chosen = chooseReplicas(String(seed), createHosts(dataCentres));
        expect(new Set(chosen.map((replica) => replica.host)).size).to.equal(hosts);
        expect(new Set(chosen.map((replica) => replica.dataCentre)).size).to.equal(dataCentreCount);
      }
    });
  }
});
