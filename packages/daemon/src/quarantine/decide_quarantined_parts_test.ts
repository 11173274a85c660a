import { expect } from "chai";
import { decideQuarantinedParts } from "./decide_quarantined_parts.ts";
import { PROMPT_PART_DEFAULTS } from "./prompt_part_defaults.ts";

/** A crash: upstream, time in ms, and the parts of the lost requests in the order of the prompt. */
type CrashCase = readonly [upstream: string, atMs: number, parts: readonly string[]];

const decide = (crashes: readonly CrashCase[], sound: Readonly<Record<string, number>> = {}) =>
  decideQuarantinedParts({
    crashes: crashes.map(([upstream, atMs, parts]) => ({
      upstream,
      atMs,
      parts: new Map(parts.map((part, position) => [part, position])),
    })),
    soundAtMs: new Map(Object.entries(sound)),
  }, PROMPT_PART_DEFAULTS);

describe("decideQuarantinedParts", () => {
  const three: readonly CrashCase[] = [
    ["u1", 100_000, ["a", "x"]],
    ["u2", 101_000, ["a", "x"]],
    ["u3", 102_000, ["a", "x"]],
  ];
  const cases: readonly {
    title: string;
    crashes: readonly CrashCase[];
    sound?: Readonly<Record<string, number>>;
    expected: readonly string[];
  }[] = [
    { title: "nothing after two crashes", crashes: three.slice(0, 2), expected: [] },
    { title: "the last part in common after three", crashes: three, expected: ["x"] },
    {
      title: "nothing when one upstream was lost three times",
      crashes: three.map(([, atMs, parts]) => ["u1", atMs, parts] as const),
      expected: [],
    },
    {
      title: "the part that was never sound",
      crashes: three,
      sound: { x: 90_000 },
      expected: ["a"],
    },
    {
      title: "nothing when all parts were sound since",
      crashes: three,
      sound: { a: 103_000, x: 103_000 },
      expected: [],
    },
    {
      title: "no part that was sound shortly before three crashes",
      crashes: three,
      sound: { a: 99_000, x: 99_000 },
      expected: [],
    },
    {
      title: "a part that became faulty, after six crashes",
      crashes: [1, 2, 3, 4, 5, 6].map((index) => [`u${index}`, 100_000 + index * 1_000, ["a"]]),
      sound: { a: 99_000 },
      expected: ["a"],
    },
    {
      title: "nothing when many upstreams were lost at once",
      crashes: [...three.map(([name]) => [name, 100_000, ["a"]] as const)],
      expected: [],
    },
    {
      title: "two parts that explain different crashes",
      crashes: [...three, ["u4", 103_000, ["a", "y"]], ["u5", 104_000, ["a", "y"]], [
        "u6",
        105_000,
        ["a", "y"],
      ]],
      sound: { a: 99_500 },
      expected: ["x", "y"],
    },
    {
      title: "one part that explains all crashes rather than two",
      crashes: [
        ...three.slice(0, 2),
        ["u4", 103_000, ["a", "y"]],
        ["u5", 104_000, ["a", "y"]],
      ],
      expected: ["a"],
    },
    {
      title: "nothing yet when a more specific part may be missing in one report",
      crashes: [...three.slice(0, 2), ["u3", 102_000, ["a"]]],
      expected: [],
    },
    {
      title: "the general part after another crash without the specific one",
      crashes: [...three.slice(0, 2), ["u3", 102_000, ["a"]], ["u4", 103_000, ["a"]]],
      expected: ["a"],
    },
  ];
  for (const { title, crashes, sound, expected } of cases) {
    it(`quarantines ${title}`, () => {
      expect(decide(crashes, sound)).to.deep.equal(expected);
    });
  }
});
