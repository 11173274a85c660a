import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { chooseReplicas } from "./choose_replicas.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { encodeKeyPrefix } from "./encode_key_prefix.ts";
import type { KeyReplica } from "./key_prefix_schema.ts";
import type { ReplicaLink } from "./replica_link.ts";

/** Options of {@link createKeyPrefixes}. */
export interface KeyPrefixesOptions {
  readonly context: Pick<DaemonContext, "config" | "clock" | "random">;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly link: ReplicaLink;
  /** Returns the own incarnation and epoch. */
  readonly readOwn: () => Identity;
}

/** Process start and epoch of one host. */
export interface Identity {
  readonly incarnation: string;
  readonly epoch: number;
}

interface KnownIdentity {
  readonly identity: Identity;
  /** Monotonic time. */
  readonly learnedAt: number;
  /** Published address when it was learned. */
  readonly place: string;
}

/** Prefixes of idempotency keys. */
export interface KeyPrefixes {
  /** Creates a signed prefix; undefined when too few replicas are known. */
  createKeyPrefix(): Promise<string | undefined>;
  countKnown(): number;
}

const RIDER = "orders";
const NONCE_BYTES = 8;
const MAX_ASKED = 6;
/** Replicas below which no prefix is made, unless fewer hosts are published. */
const MIN_REPLICAS = 2;
const identitySchema = z.object({
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
});

/** Creates the maker of key prefixes; it learns of replicas from heartbeats. */
export function createKeyPrefixes(options: KeyPrefixesOptions): KeyPrefixes {
  const { context, settings, membership, link } = options;
  const self = context.config.host.name;
  const known = new Map<string, KnownIdentity>();

  /** A host that was published anew has another process. */
  const formatPlace = (host: string) => {
    const published = settings.getHosts().get(host);
    return `${published?.address}:${published?.peerPort}`;
  };

  const findIdentity = (host: string): Identity | undefined => {
    const found = known.get(host);
    const now = context.clock.readMonotonicMs();
    const isUsable = found !== undefined && found.place === formatPlace(host) &&
      now - found.learnedAt <= ORDER_LIMITS.maxIdentityAgeMs;
    return isUsable ? found.identity : undefined;
  };

  const noteIdentity = (host: string, identity: Identity) => {
    const learnedAt = context.clock.readMonotonicMs();
    known.delete(host);
    known.set(host, { identity, learnedAt, place: formatPlace(host) });
    const [oldest] = known.keys();
    if (known.size > ORDER_LIMITS.maxKnownReplicas && oldest !== undefined) {
      known.delete(oldest);
    }
  };

  membership.registerRider({
    name: RIDER,
    collectPayload: options.readOwn,
    applyPayload: (from, payload) => {
      const identity = identitySchema.safeParse(payload);
      if (identity.success) {
        noteIdentity(from, identity.data);
      }
    },
  });

  const listKnown = (): (KeyReplica & { dataCentre: string })[] => {
    const hosts = settings.getHosts();
    noteIdentity(self, options.readOwn());
    return membership.listLiveHosts().flatMap((host) => {
      const identity = findIdentity(host);
      const dataCentre = hosts.get(host)?.dataCentre;
      return identity === undefined || dataCentre === undefined
        ? []
        : [{ host, dataCentre, ...identity }];
    });
  };

  /** Asks hosts not yet heard of; only right after a start, before their heartbeats came. */
  const askUnknown = async () => {
    const unknown = membership.listLiveHosts().filter((host) => findIdentity(host) === undefined);
    await Promise.all(
      unknown.slice(0, MAX_ASKED).map(async (host) => {
        const identity = await link.askIdentity(host);
        if (identity !== undefined) {
          noteIdentity(host, identity);
        }
      }),
    );
  };

  return {
    createKeyPrefix: async () => {
      const wanted = Math.min(ORDER_LIMITS.replicas, membership.listLiveHosts().length);
      if (listKnown().length < wanted) {
        await askUnknown();
      }
      const chosen = chooseReplicas(context.random.nextHex(NONCE_BYTES), listKnown());
      const minimum = Math.min(MIN_REPLICAS, settings.getHosts().size);
      if (chosen.length === 0 || chosen.length < minimum) {
        return undefined;
      }
      const replicas = chosen.map(({ host, incarnation, epoch }) => ({ host, incarnation, epoch }));
      return encodeKeyPrefix(replicas, context.config.fleetKeys[0]);
    },
    countKnown: () => known.size,
  };
}
