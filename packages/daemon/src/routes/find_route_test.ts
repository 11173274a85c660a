import { expect } from "chai";
import { chooseService } from "./choose_service.ts";
import { findRoute } from "./find_route.ts";
import type { Route } from "./route.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";

const createRoute = (prefix: string, change: Partial<Route> = {}): Route => ({
  name: prefix,
  hostName: "a.example",
  prefix,
  kind: "once",
  services: [{ service: "s", weight: 1 }],
  timeoutMs: 1_000,
  targetMs: 100,
  maxAttempts: 1,
  isResumable: false,
  priority: 0,
  isPublic: false,
  ...change,
});

describe("findRoute", () => {
  const prefixes = ["/", "/a/", "/a/b/c/", "/x/"];
  const routes = new Map([
    ["a.example", new Map(prefixes.map((prefix) => [prefix, createRoute(prefix)]))],
    ["b.example", new Map([["/only/", createRoute("/only/")]])],
  ]);
  const cases: readonly [string, string, string | undefined][] = [
    ["a.example", "/a/b/c/d", "/a/b/c/"],
    ["a.example", "/a/b/c", "/a/"],
    ["a.example", "/a/b/../c/x", "/a/"],
    ["A.Example", "/x/?q=/a/b/c/", "/x/"],
    ["a.example", "/", "/"],
    ["a.example", "/ab/", "/"],
    ["a.example", "/a%2Fb/c", "/"],
    ["b.example", "/only", undefined],
    ["b.example", "/only/x", "/only/"],
    ["c.example", "/a/", undefined],
  ];
  for (const [host, target, expected] of cases) {
    it(`${host}${target} is routed by prefix ${expected ?? "none"}`, () => {
      expect(findRoute({ routes }, host, target)?.prefix).to.equal(expected);
    });
  }
});

describe("chooseService", () => {
  it("splits by weight and never chooses a service of weight 0", () => {
    const random = createSeededRandom(7);
    const services = [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
      { service: "c", weight: 0 },
    ];
    const route = createRoute("/", { services });
    const drawn = Array.from({ length: 2_000 }, () => chooseService(route, random));
    const count = (name: string) => drawn.filter((service) => service === name).length;
    expect(count("a")).to.be.within(1_740, 1_860);
    expect(count("c")).to.equal(0);
    expect(chooseService(createRoute("/", { services: [] }), random)).to.equal(undefined);
  });
});
