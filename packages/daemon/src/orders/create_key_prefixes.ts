import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { chooseReplicas } from "./choose_replicas.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { encodeKeyPrefix } from "./encode_key_prefix.ts";
import type { KeyReplica } from "./key_prefix_schema.ts";
import type { ReplicaClient } from "./replica_client.ts";

/** Options of {@link createKeyPrefixes}. */
export interface KeyPrefixesOptions {
  readonly context: Pick<DaemonContext, "config" | "clock" | "random">;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly replicaClient: ReplicaClient;
  /** Returns the local incarnation and epoch. */
  readonly readLocalIdentity: () => Identity;
}

/** Incarnation (process start) and epoch of one host. */
export interface Identity {
  readonly incarnation: string;
  readonly epoch: number;
}

interface CachedIdentity {
  readonly identity: Identity;
  /** Monotonic time at which the identity was received. */
  readonly receivedAtMs: number;
  /** Published address of the host at that time. */
  readonly place: string;
}

/** Prefixes of idempotency keys. */
export interface KeyPrefixes {
  /** Creates a signed prefix; undefined when the identities of too few replicas are known. */
  createKeyPrefix(): Promise<string | undefined>;
  countKnownReplicas(): number;
}

const PAYLOAD_NAME = "orders";
const NONCE_BYTES = 8;
const MAX_IDENTITY_FETCHES = 6;
/** Smallest number of replicas in a prefix, unless fewer hosts are published. */
const MIN_REPLICAS = 2;
const identitySchema = z.object({
  incarnation: z.string().max(64),
  epoch: z.number().int().nonnegative(),
});

/** Creates the generator of key prefixes; it receives replica identities with heartbeats. */
export function createKeyPrefixes(options: KeyPrefixesOptions): KeyPrefixes {
  const { context, settings, membership, replicaClient } = options;
  const self = context.config.host.name;
  /** Cached identities by host. */
  const known = new Map<string, CachedIdentity>();

  /** A changed address means that the host was published again, by another process. */
  const formatPublishedAddress = (host: string) => {
    const published = settings.getHosts().get(host);
    return `${published?.address}:${published?.peerPort}`;
  };

  const findIdentity = (host: string): Identity | undefined => {
    const found = known.get(host);
    const now = context.clock.readMonotonicMs();
    const isUsable = found !== undefined && found.place === formatPublishedAddress(host) &&
      now - found.receivedAtMs <= ORDER_LIMITS.maxIdentityAgeMs;
    return isUsable ? found.identity : undefined;
  };

  const recordIdentity = (host: string, identity: Identity) => {
    const receivedAtMs = context.clock.readMonotonicMs();
    known.delete(host);
    known.set(host, { identity, receivedAtMs, place: formatPublishedAddress(host) });
    const [oldest] = known.keys();
    if (known.size > ORDER_LIMITS.maxKnownReplicas && oldest !== undefined) {
      known.delete(oldest);
    }
  };

  membership.registerPayload({
    name: PAYLOAD_NAME,
    collectPayload: options.readLocalIdentity,
    applyPayload: (from, payload) => {
      const identity = identitySchema.safeParse(payload);
      if (identity.success) {
        recordIdentity(from, identity.data);
      }
    },
  });

  const listKnownReplicas = (): (KeyReplica & { dataCentre: string })[] => {
    const hosts = settings.getHosts();
    recordIdentity(self, options.readLocalIdentity());
    return membership.listLiveHosts().flatMap((host) => {
      const identity = findIdentity(host);
      const dataCentre = hosts.get(host)?.dataCentre;
      return identity === undefined || dataCentre === undefined
        ? []
        : [{ host, dataCentre, ...identity }];
    });
  };

  /** Fetches unknown identities; needed only after a start, before the first heartbeats arrive. */
  const fetchMissingIdentities = async () => {
    const unknown = membership.listLiveHosts().filter((host) => findIdentity(host) === undefined);
    await Promise.all(
      unknown.slice(0, MAX_IDENTITY_FETCHES).map(async (host) => {
        const identity = await replicaClient.fetchIdentity(host);
        if (identity !== undefined) {
          recordIdentity(host, identity);
        }
      }),
    );
  };

  return {
    createKeyPrefix: async () => {
      const replicaCount = Math.min(ORDER_LIMITS.replicas, membership.listLiveHosts().length);
      if (listKnownReplicas().length < replicaCount) {
        await fetchMissingIdentities();
      }
      const chosen = chooseReplicas(context.random.nextHex(NONCE_BYTES), listKnownReplicas());
      const minimum = Math.min(MIN_REPLICAS, settings.getHosts().size);
      if (chosen.length === 0 || chosen.length < minimum) {
        return undefined;
      }
      const replicas = chosen.map(({ host, incarnation, epoch }) => ({ host, incarnation, epoch }));
      return encodeKeyPrefix(replicas, context.config.fleetKeys[0]);
    },
    countKnownReplicas: () => known.size,
  };
}
