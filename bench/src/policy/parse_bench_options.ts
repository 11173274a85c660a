import { parseArgs } from "node:util";
import { POLICIES } from "./policies.ts";
import { SCENARIOS } from "./scenarios.ts";

/** Options of `npm run bench:policy`. */
export interface BenchOptions {
  readonly isJson: boolean;
  readonly scenarios: readonly string[];
  readonly policies: readonly string[];
  readonly loads: readonly number[];
  readonly seed: number;
  /** Simulated minutes of each run. */
  readonly minutes: number;
  /** Runs every fault at every load instead of at 100% only. */
  readonly isFull: boolean;
  /** Measures only how evenly late loads are used. */
  readonly isSpreadOnly: boolean;
}

const DEFAULT_LOADS = "60,85,100,120";
const DEFAULT_MINUTES = "5";
const DEFAULT_SEED = "1";

/** Parses the command line; throws an error that lists the known names if a name is unknown. */
export function parseBenchOptions(args: readonly string[]): BenchOptions {
  const { values } = parseArgs({
    args: [...args],
    options: {
      json: { type: "boolean", default: false },
      full: { type: "boolean", default: false },
      spread: { type: "boolean", default: false },
      scenario: { type: "string", default: SCENARIOS.map(({ name }) => name).join(",") },
      policy: { type: "string", default: POLICIES.map(({ name }) => name).join(",") },
      load: { type: "string", default: DEFAULT_LOADS },
      seed: { type: "string", default: DEFAULT_SEED },
      minutes: { type: "string", default: DEFAULT_MINUTES },
    },
  });
  return {
    isJson: values.json,
    isFull: values.full,
    isSpreadOnly: values.spread,
    scenarios: parseNames(values.scenario, SCENARIOS),
    policies: parseNames(values.policy, POLICIES),
    loads: values.load.split(",").map(parsePositive),
    seed: parsePositive(values.seed),
    minutes: parsePositive(values.minutes),
  };
}

function parseNames(text: string, known: readonly { readonly name: string }[]): string[] {
  const names = text.split(",");
  const unknown = names.find((name) => !known.some((each) => each.name === name));
  if (unknown !== undefined) {
    const list = known.map(({ name }) => name).join(", ");
    throw new Error(`"${unknown}" is not known; use one of ${list}`);
  }
  return names;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!(value > 0)) {
    throw new Error(`"${text}" is not a positive number`);
  }
  return value;
}
