import { expect } from "chai";
import { chooseReaders } from "./choose_readers.ts";

describe("chooseReaders", () => {
  const createHost = (host: string, dataCentre: string, size: number, protocolVersion = 1) => ({
    host,
    dataCentre,
    size,
    protocolVersion,
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

  // Otherwise no host would report that a known upstream has become cold.
  it("chooses one host that reports cold upstreams if the largest ones are of the former build", () => {
    const former = [createHost("h1", "a", 4, 0), createHost("h2", "b", 3, 0)];
    const current = [createHost("h3", "a", 1), createHost("h4", "a", 2), createHost("h5", "b", 1)];
    expect(chooseReaders([...former, ...current])).to.deep.equal(["h1", "h4"]);
    expect(chooseReaders(former)).to.deep.equal(["h1", "h2"]);
  });

  it("chooses the largest hosts if one of them reports cold upstreams", () => {
    const first = createHost("h1", "a", 4);
    const second = createHost("h2", "b", 3, 0);
    expect(chooseReaders([first, second, createHost("h3", "b", 1)])).to.deep.equal(["h1", "h2"]);
    const swapped = [{ ...first, protocolVersion: 0 }, { ...second, protocolVersion: 1 }];
    expect(chooseReaders([...swapped, createHost("h3", "b", 1)])).to.deep.equal(["h1", "h2"]);
  });
});
