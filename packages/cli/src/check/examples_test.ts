import { createSeededRandom, createSystemClock } from "@crocussail/daemon";
import { createLocalFleet } from "@crocussail/local_fleet";
import type { LocalFleet, LocalStandIns } from "@crocussail/local_fleet";
import { expect } from "chai";
import { join } from "node:path";
import { LOAD_DEFAULTS } from "../load/constants.ts";
import { listViolatedGuarantees } from "../load/list_violated_guarantees.ts";
import { resolveLoadPlan } from "../load/resolve_load_plan.ts";
import { runLoad } from "../load/run_load.ts";
import { readSettingsTree } from "./read_settings_tree.ts";

interface Session {
  readonly example: string;
  readonly team: string;
  readonly kind: string;
  readonly model: string;
  readonly service: string;
  readonly orderPath: string;
}

const SESSIONS: readonly Session[] = [
  {
    example: "lakeshore",
    team: "depots",
    kind: "stock_question",
    model: "plan-70b",
    service: "stock",
    orderPath: "/releases",
  },
  {
    example: "vanua",
    team: "agents",
    kind: "status",
    model: "draft-32b",
    service: "ordering",
    orderPath: "/orders",
  },
];

/** Points every upstream of an example at a stand-in and omits the hosts. */
function replaceAddresses(
  tree: ReadonlyMap<string, string>,
  { engines, service }: LocalStandIns,
): Record<string, string> {
  let next = 0;
  const entries = [...tree]
    .filter(([path]) => !path.startsWith("hosts/"))
    .map(([path, text]) => {
      const isEngine = text.includes("kind = engine");
      const url = isEngine ? engines[next++ % engines.length]?.url : service.url;
      return [path, text.replace(/^url = .*$/m, `url = ${url}`)];
    });
  return Object.fromEntries(entries);
}

describe("examples", () => {
  for (const session of SESSIONS) {
    describe(session.example, () => {
      let fleet: LocalFleet;

      before(async () => {
        const directory = join("examples", session.example, "settings");
        const tree = (await readSettingsTree(directory)).unsafeCoerce();
        fleet = await createLocalFleet({
          hosts: 3,
          models: [session.model],
          createValues: (standIns) => replaceAddresses(tree, standIns),
        });
      });

      after(() => fleet.close());

      it("serves a short session of streams, orders and reads", async () => {
        const plan = resolveLoadPlan({
          ...LOAD_DEFAULTS,
          ...session,
          url: fleet.daemons[0]?.url,
          apiKey: `${session.example}-example-${session.team}-key`,
          mix: "chat=2,order=1,read=1",
          requests: 24,
        }).unsafeCoerce();
        const summaries = await runLoad({
          plan,
          clock: createSystemClock(),
          random: createSeededRandom(plan.seed),
          reportProgress: () => {},
        });
        const problems = summaries.flatMap((summary) => Object.keys(summary.codes));
        const answered = summaries.reduce((sum, item) => sum + item.inTime + item.late, 0);
        expect(problems).to.deep.equal([]);
        expect(answered).to.equal(24);
        expect(listViolatedGuarantees(summaries)).to.deep.equal([]);
        expect([...fleet.service.getExecutionCounts().values()].every((runs) => runs === 1)).to
          .equal(true);
      });
    });
  }
});
