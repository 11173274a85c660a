import { expect } from "chai";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { computeLoadShares } from "./compute_load_shares.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import { createLoadShareState } from "./load_share_state.ts";
import { createSlotOwnerState } from "./slot_owner_state.ts";
import { createSlotVoterState } from "./slot_voter_state.ts";

const SEEDS = 40;
const STEPS = 6_000;
const HOSTS = 3;
const SLOTS = 7;
const ENGINES = 12;
const CENTRE = "suva";
const MAX_STEP_MS = 1_000;
const USUAL_DELAY_MS = 300;
const LATE_RATE = 0.1;
const LATE_DELAY_MS = 20_000;
const MAX_PAUSE_MS = 60_000;
const LOSS_RATE = 0.1;
const DUPLICATE_RATE = 0.1;
/** Probability per step that a host assumes another owner, and that its process pauses. */
const CHANGE_RATE = 0.004;

interface Host {
  readonly name: string;
  voter: ReturnType<typeof createSlotVoterState>;
  owner: ReturnType<typeof createSlotOwnerState>;
  shares: ReturnType<typeof createLoadShareState>;
  fixed: Set<RunningLoad>;
  pausedUntilMs: number;
  /** Index of the host that this one assumes to be the slot owner. */
  assumedOwner: number;
  roundAtMs: number;
}

interface RunningLoad {
  readonly endsAtMs: number;
  end(): void;
}

interface Message {
  readonly dueMs: number;
  readonly to: Host;
  deliver(): void;
}

/** Runs one random schedule of votes, grants, pauses, restarts, and lost or duplicate messages. */
const runSchedule = (seed: number) => {
  const random = createSeededRandom(seed);
  const pick = <Item>(items: readonly Item[]) => items[random.nextInteger(items.length)] as Item;
  const makeHost = (name: string, nowMs: number): Host => ({
    name,
    voter: createSlotVoterState(nowMs),
    owner: createSlotOwnerState(),
    shares: createLoadShareState(nowMs),
    fixed: new Set(),
    pausedUntilMs: 0,
    assumedOwner: 0,
    roundAtMs: nowMs,
  });
  const hosts = Array.from({ length: HOSTS }, (_, index) => makeHost(`h${index}`, 0));
  let messages: Message[] = [];
  const running = new Set<RunningLoad>();
  let nowMs = 0;
  let startedCount = 0;
  let maxRunning = 0;

  const send = (to: Host, deliver: () => void) => {
    const copies = random.nextFloat() < LOSS_RATE ? 0 : random.nextFloat() < DUPLICATE_RATE ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const delayMs = random.nextFloat() < LATE_RATE ? LATE_DELAY_MS : USUAL_DELAY_MS;
      messages.push({ dueMs: nowMs + random.nextFloat() * delayMs, to, deliver });
    }
  };
  const startLoad = (end: () => void): RunningLoad => {
    const durationMs = (0.5 + random.nextFloat() / 2) * PLACEMENT_LIMITS.maxLoadMs;
    const load = { endsAtMs: nowMs + durationMs, end };
    running.add(load);
    startedCount += 1;
    maxRunning = Math.max(maxRunning, running.size);
    return load;
  };
  const startRound = (host: Host) => {
    const round = host.owner.startRound(HOSTS, nowMs);
    const { owner } = host;
    for (const voter of hosts) {
      send(voter, () => {
        if (voter.voter.tryPromise(CENTRE, host.name, nowMs)) {
          send(host, () => owner.observeVote(round, voter.name));
        }
      });
    }
  };
  const requestSlot = (host: Host, counter: Host) => {
    const engine = `e${random.nextInteger(ENGINES)}`;
    const sentAtMs = nowMs;
    let isAnswered = false;
    send(counter, () => {
      const slots = counter.shares.getShares(nowMs).owner;
      const grant = counter.owner.tryGrant({ engine, requester: host.name, slots, nowMs });
      const { owner } = counter;
      if (grant === undefined) {
        return;
      }
      send(host, () => {
        if (isAnswered || nowMs >= sentAtMs + PLACEMENT_LIMITS.startTimeoutMs) {
          return;
        }
        isAnswered = true;
        startLoad(() => send(counter, () => owner.releaseGrant(engine, grant.lease)));
      });
    });
  };
  const startFixedLoad = (host: Host) => {
    if (host.fixed.size < host.shares.getShares(nowMs).perHost) {
      const load = startLoad(() => host.fixed.delete(load));
      host.fixed.add(load);
    }
  };
  const restartHost = (host: Host) => Object.assign(host, makeHost(host.name, nowMs));

  const runStep = () => {
    nowMs += random.nextFloat() * MAX_STEP_MS;
    for (const load of [...running].filter((candidate) => candidate.endsAtMs <= nowMs)) {
      running.delete(load);
      load.end();
    }
    const due = messages.filter((message) =>
      message.dueMs <= nowMs && message.to.pausedUntilMs <= nowMs
    );
    messages = messages.filter((message) => !due.includes(message));
    due.sort(() => random.nextFloat() - 0.5).forEach((message) => message.deliver());

    const activeHosts = hosts.filter((host) => host.pausedUntilMs <= nowMs);
    activeHosts.forEach((host) => host.shares.recordPublishedCounts(SLOTS, HOSTS, nowMs));
    for (const host of activeHosts) {
      const isDue = nowMs - host.roundAtMs >= PLACEMENT_LIMITS.renewMs;
      if (isDue && hosts[host.assumedOwner] === host) {
        host.roundAtMs = nowMs;
        startRound(host);
      }
    }
    if (activeHosts.length === 0) {
      return;
    }
    const host = pick(activeHosts);
    const chance = random.nextFloat();
    requestSlot(host, hosts[host.assumedOwner] as Host);
    if (chance < 0.1) {
      startFixedLoad(host);
    }
    if (chance < CHANGE_RATE) {
      host.assumedOwner = random.nextInteger(HOSTS);
    }
    if (chance > 1 - CHANGE_RATE) {
      host.pausedUntilMs = nowMs + random.nextFloat() * MAX_PAUSE_MS;
    }
    if (chance > 1 - CHANGE_RATE / 4) {
      restartHost(host);
    }
  };
  for (let step = 0; step < STEPS; step++) {
    runStep();
  }
  return { started: startedCount, maxRunning };
};

describe("load slots", () => {
  it("never run more loads than the store has slots, even if the owner pauses or changes", () => {
    let startedTotal = 0;
    let maxRunning = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const result = runSchedule(seed);
      expect(result.maxRunning, `seed ${seed}`).to.be.at.most(SLOTS);
      startedTotal += result.started;
      maxRunning = Math.max(maxRunning, result.maxRunning);
    }
    expect(startedTotal).to.be.above(SEEDS * 10);
    expect(maxRunning).to.be.above(computeLoadShares(SLOTS, HOSTS).owner);
  });

  it("grants nothing until a majority has promised and earlier loads have ended", () => {
    const owner = createSlotOwnerState();
    const tryGrant = (nowMs: number) =>
      owner.tryGrant({ engine: "e", requester: "h0", slots: 1, nowMs });
    expect(tryGrant(0)).to.equal(undefined);
    for (let nowMs = 0; nowMs <= 140_000; nowMs += PLACEMENT_LIMITS.renewMs) {
      const round = owner.startRound(3, nowMs);
      owner.observeVote(round, "h0");
      owner.observeVote(round, "h0");
      if (nowMs >= 4_000) {
        owner.observeVote(round, "h1");
      }
      const isDrained = nowMs >= 4_000 + PLACEMENT_LIMITS.maxLoadMs;
      if (!isDrained) {
        expect(tryGrant(nowMs), `at ${nowMs}`).to.equal(undefined);
      }
    }
    expect(tryGrant(140_000)?.lease).to.equal(1);
    expect(tryGrant(140_000)).to.equal(undefined);
    expect(tryGrant(140_000 + PLACEMENT_LIMITS.ownerMs)).to.equal(undefined);
  });

  it("divides the slots into shares that add up to their number", () => {
    for (let slots = 1; slots <= 40; slots++) {
      for (let hosts = 1; hosts <= 60; hosts++) {
        const { owner, perHost } = computeLoadShares(slots, hosts);
        expect(owner + perHost * hosts).to.equal(slots);
        expect(owner).to.be.at.least(1);
      }
    }
  });

  it("uses the smaller shares while the list changes, and no fixed share after a start", () => {
    const shares = createLoadShareState(0);
    shares.recordPublishedCounts(8, 2, 0);
    expect(shares.getShares(1_000).perHost).to.equal(0);
    expect(shares.getShares(140_000).perHost).to.equal(2);
    shares.recordPublishedCounts(8, 4, 140_000);
    shares.recordPublishedCounts(8, 1, 141_000);
    expect(shares.getShares(142_000)).to.deep.equal({ owner: 4, perHost: 1 });
    expect(shares.getShares(290_000)).to.deep.equal({ owner: 4, perHost: 4 });
  });
});
