import { expect } from "chai";
import { chooseReaders } from "./choose_readers.ts";

describe("chooseReaders", () => {
  const createHost = (host: string, dataCentre: string, size: number) => ({
    host,
    dataCentre,
    size,
  });

  it("chooses the largest hosts, in different data centres", () => {
    const hosts = [
      createHost("h1", "a", 1),
      createHost("h2", "a", 2),
      createHost("h3", "a", 2),
      createHost("h4", "b", 1),
    ];
    const [first, second] = chooseReaders(hosts);
    expect(["h2", "h3"]).to.include(first);
    expect(second).to.equal("h4");
  });

  it("chooses the same hosts whatever the order, and two of one data centre if there is no other", () => {
    const hosts = ["h1", "h2", "h3"].map((host) => createHost(host, "a", 1));
    expect(chooseReaders([...hosts].reverse())).to.deep.equal(chooseReaders(hosts));
    expect(chooseReaders(hosts)).to.have.length(2);
    expect(chooseReaders(hosts.slice(0, 1))).to.deep.equal(["h1"]);
  });
});
