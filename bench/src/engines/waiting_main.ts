import process from "node:process";
import { createWaitQueue } from "@crocussail/daemon/waiting";
import { createFormerQueue } from "./create_former_queue.ts";
import { runWaitingLoad } from "./run_waiting_load.ts";

const SIZES = [{ hosts: 8, engines: 6 }, { hosts: 69, engines: 50 }];
const LOADS = [1.2, 1.7, 2.5];
const QUEUES = { former: createFormerQueue, waiting: createWaitQueue };
const seed = Number(process.argv[2] ?? 1);
const onlyHosts = Number(process.argv[3] ?? 0);
const onlyLoad = Number(process.argv[4] ?? 0);

for (const size of SIZES.filter(({ hosts }) => onlyHosts === 0 || hosts === onlyHosts)) {
  for (const load of LOADS.filter((each) => onlyLoad === 0 || each === onlyLoad)) {
    for (const [order, createQueue] of Object.entries(QUEUES)) {
      const figures = runWaitingLoad({ ...size, seed, load, createQueue });
      for (const [group, share] of Object.entries(figures)) {
        const round = (value: number) => Math.round(value * 1_000) / 1_000;
        console.log(JSON.stringify({
          ...{ ...size, load, order, group, asked: share.asked },
          inTarget: round(share.inTarget),
          late: round(share.late),
          refused: round(share.refused),
          refusedAfterMs: share.refusedAfterMs,
        }));
      }
    }
  }
}
