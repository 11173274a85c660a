import type { DaemonContext } from "../common/daemon_context.ts";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { PLACEMENT_LIMITS } from "./constants.ts";
import { createLoadShareState } from "./load_share_state.ts";
import type { LoadShareState } from "./load_share_state.ts";
import type { PlacementMessage } from "./placement_message_schema.ts";
import type { PlacementReply } from "./placement_reply_schema.ts";
import { createSlotOwnerState } from "./slot_owner_state.ts";
import type { SlotOwnerState } from "./slot_owner_state.ts";
import { createSlotVoterState } from "./slot_voter_state.ts";

/** Options of {@link createLoadSlots}. */
export interface LoadSlotsOptions {
  readonly context: Pick<DaemonContext, "clock" | "config" | "logger">;
  readonly settings: SettingsView;
  readonly membership: Pick<Membership, "listLiveHosts">;
  /** Sends a message to a peer; resolves with undefined if no valid response arrives in time. */
  readonly requestPeer: (
    host: string,
    message: PlacementMessage,
  ) => Promise<PlacementReply | undefined>;
}

/** Permission to load the weights of one model; the load must start within a short time. */
export interface LoadSlot {
  /** Monotonic time before which the load must start. */
  readonly startDeadlineAtMs: number;
  /** Releases the slot when the load has ended. */
  release(): void;
}

/** Slots for loads of model weights from the weight stores, counted per data centre. */
export interface LoadSlots {
  /** Renews the slot ownerships that are assigned to this host. */
  tick(): void;
  /** Gets a slot from the owner, or from this host's fixed share if the owner does not respond. */
  acquireSlot(dataCentre: string, engine: string): Promise<LoadSlot | undefined>;
  /** Handles a candidate's request to promise that it is accepted as the slot owner. */
  handleVoteRequest(dataCentre: string, candidate: string): boolean;
  /** Grants a slot to a host if one is free; returns the lease. */
  handleSlotRequest(dataCentre: string, engine: string, requester: string): number | undefined;
  releaseSlot(dataCentre: string, engine: string, lease: number): void;
  dumpState(): unknown;
}

interface DataCentreSlots {
  readonly owner: SlotOwnerState;
  readonly shares: LoadShareState;
  /** Monotonic time of this host's last round of vote requests. */
  roundAtMs: number;
  /** End times of the loads that this host runs in its fixed share, by engine. */
  readonly fixed: Map<string, number>;
}

/** Creates the slots of all data centres; state is kept for those with published engines. */
export function createLoadSlots(options: LoadSlotsOptions): LoadSlots {
  const { settings, membership } = options;
  const { clock, config } = options.context;
  const self = config.host.name;
  const startedAtMs = clock.readMonotonicMs();
  const voter = createSlotVoterState(startedAtMs);
  const centres = new Map<string, DataCentreSlots>();

  const getCentre = (dataCentre: string): DataCentreSlots => {
    const existing = centres.get(dataCentre);
    if (existing !== undefined) {
      return existing;
    }
    const created: DataCentreSlots = {
      owner: createSlotOwnerState(),
      shares: createLoadShareState(startedAtMs),
      roundAtMs: Number.NEGATIVE_INFINITY,
      fixed: new Map(),
    };
    centres.set(dataCentre, created);
    return created;
  };
  /** Lists the published hosts of a data centre; if there are none, all published hosts. */
  const listVoters = (dataCentre: string): readonly string[] => {
    const hosts = [...settings.getHosts()];
    const near = hosts.filter(([, host]) => host.dataCentre === dataCentre);
    return (near.length > 0 ? near : hosts).map(([name]) => name);
  };
  const findOwner = (dataCentre: string): string | undefined => {
    const live = new Set(membership.listLiveHosts());
    const candidates = listVoters(dataCentre).filter((name) => live.has(name));
    return rankByRendezvous(`load-slots/${dataCentre}`, candidates)[0];
  };
  const listCentres = () =>
    new Set(
      [...settings.getUpstreams().values()]
        .filter((upstream) => upstream.kind === "engine")
        .map((upstream) => upstream.dataCentre),
    );

  const collectVotes = (dataCentre: string, nowMs: number) => {
    const centre = getCentre(dataCentre);
    const voters = listVoters(dataCentre);
    centre.roundAtMs = nowMs;
    const round = centre.owner.startRound(voters.length, nowMs);
    for (const name of voters) {
      if (name === self) {
        if (voter.tryPromise(dataCentre, self, nowMs)) {
          centre.owner.observeVote(round, self);
        }
        continue;
      }
      options.requestPeer(name, { kind: "vote", dataCentre }).then((reply) => {
        if (reply?.isPromised === true) {
          centre.owner.observeVote(round, name);
        }
      });
    }
  };

  const handleSlotRequest = (dataCentre: string, engine: string, requester: string) => {
    const nowMs = clock.readMonotonicMs();
    const centre = getCentre(dataCentre);
    const slots = centre.shares.getShares(nowMs).owner;
    return centre.owner.tryGrant({ engine, requester, slots, nowMs })?.lease;
  };
  const releaseSlot = (dataCentre: string, engine: string, lease: number) =>
    getCentre(dataCentre).owner.releaseGrant(engine, lease);

  const acquireFixed = (dataCentre: string, engine: string): LoadSlot | undefined => {
    const nowMs = clock.readMonotonicMs();
    const { fixed, shares } = getCentre(dataCentre);
    for (const [name, endsAtMs] of fixed) {
      if (endsAtMs <= nowMs) {
        fixed.delete(name);
      }
    }
    if (fixed.has(engine) || fixed.size >= shares.getShares(nowMs).perHost) {
      return undefined;
    }
    fixed.set(engine, nowMs + PLACEMENT_LIMITS.startTimeoutMs + PLACEMENT_LIMITS.maxLoadMs);
    return {
      startDeadlineAtMs: nowMs + PLACEMENT_LIMITS.startTimeoutMs,
      release: () => fixed.delete(engine),
    };
  };

  return {
    tick: () => {
      const nowMs = clock.readMonotonicMs();
      const slots = settings.getFleetLimits().weightStoreSlots;
      for (const dataCentre of listCentres()) {
        const centre = getCentre(dataCentre);
        centre.shares.recordPublishedCounts(slots, listVoters(dataCentre).length, nowMs);
        const isDue = nowMs - centre.roundAtMs >= PLACEMENT_LIMITS.renewMs;
        if (isDue && findOwner(dataCentre) === self) {
          collectVotes(dataCentre, nowMs);
        }
      }
    },
    acquireSlot: async (dataCentre, engine) => {
      const sentAtMs = clock.readMonotonicMs();
      const owner = findOwner(dataCentre);
      if (owner === undefined) {
        return acquireFixed(dataCentre, engine);
      }
      const reply = owner === self
        ? { lease: handleSlotRequest(dataCentre, engine, self) }
        : await options.requestPeer(owner, { kind: "slot", dataCentre, engine });
      if (reply === undefined) {
        return acquireFixed(dataCentre, engine);
      }
      const { lease } = reply;
      if (lease === undefined) {
        return undefined;
      }
      return {
        startDeadlineAtMs: sentAtMs + PLACEMENT_LIMITS.startTimeoutMs,
        release: () => {
          if (owner === self) {
            releaseSlot(dataCentre, engine, lease);
            return;
          }
          void options.requestPeer(owner, { kind: "release", dataCentre, engine, lease });
        },
      };
    },
    handleVoteRequest: (dataCentre, candidate) =>
      voter.tryPromise(dataCentre, candidate, clock.readMonotonicMs()),
    handleSlotRequest,
    releaseSlot,
    dumpState: () => {
      const nowMs = clock.readMonotonicMs();
      return Object.fromEntries([...centres].map(([dataCentre, centre]) => [dataCentre, {
        owner: findOwner(dataCentre),
        isOwning: centre.owner.isActive(nowMs),
        grants: centre.owner.countGrants(nowMs),
        shares: centre.shares.getShares(nowMs),
        fixed: [...centre.fixed.keys()],
      }]));
    },
  };
}
