import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { ServiceClient, ServiceResponse } from "../adapters/service_client.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { rankByRendezvous } from "../common/rank_by_rendezvous.ts";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView, TeamSettings } from "../settings/mod.ts";
import { decideReplica } from "./decide_replica.ts";
import type { ReplicaState } from "./decide_replica.ts";
import { decodeOrderKey } from "./decode_order_key.ts";
import { encodeKeyPrefix } from "./encode_key_prefix.ts";
import type { KeyPrefix } from "./key_prefix_schema.ts";
import { orderMessageSchema } from "./order_message_schema.ts";
import { orderReplySchema } from "./order_reply_schema.ts";
import type { OrderReply } from "./order_reply_schema.ts";

/** Options of {@link createOrders}. */
export interface OrdersOptions {
  readonly context: DaemonContext;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly service: ServiceClient;
}

/** Orders slice: calls of plain services, those that may not repeat at most once. */
export interface Orders {
  registerRoutes(server: FastifyInstance): void;
  /** Creates a key prefix for `GET /v1/entry`; undefined without enough reachable replicas. */
  createKeyPrefix(): Promise<string | undefined>;
  /** Number of calls running on this daemon. */
  countRunning(): number;
  dumpState(): unknown;
}

const CHANNEL = "orders";
const REPLICAS = 3;
const MAJORITY = 2;
const PEER_TIMEOUT_MS = 1_000;
const NONCE_BYTES = 12;

/** Creates the orders slice. */
export function createOrders(options: OrdersOptions): Orders {
  const { context, settings, membership, service } = options;
  const { peers, random, config } = context;
  const replica: ReplicaState = { incarnation: context.incarnation, records: new Map() };
  let running = 0;

  peers.registerHandler(
    CHANNEL,
    (_from, message) => decideReplica(replica, orderMessageSchema.parse(message)),
  );

  const askReplica = async (host: string, message: unknown): Promise<OrderReply | undefined> => {
    const reply = await peers.requestReply(host, CHANNEL, message, PEER_TIMEOUT_MS);
    return reply.map((body) => orderReplySchema.parse(body)).toMaybe().extract();
  };

  const createKeyPrefix = async () => {
    const ranked = rankByRendezvous(random.nextHex(NONCE_BYTES), membership.listLiveHosts());
    const replicas = (await Promise.all(
      ranked.slice(0, REPLICAS).map(async (host) => {
        const reply = await askReplica(host, { type: "identify" });
        return reply?.type === "identity" ? [{ host, incarnation: reply.incarnation }] : [];
      }),
    )).flat();
    return replicas.length < MAJORITY
      ? undefined
      : encodeKeyPrefix({ replicas }, config.fleetKeys[0]);
  };

  const runOrder = async (
    call: { key: string; digest: string; prefix: KeyPrefix; dispatch: Dispatch },
    reply: FastifyReply,
  ) => {
    const claim = random.nextHex(NONCE_BYTES);
    const { key, digest, prefix } = call;
    const replies = await Promise.all(
      prefix.replicas.map(({ host, incarnation }) =>
        askReplica(host, { type: "claim", key, claim, digest, incarnation })
      ),
    );
    const taken = replies.flatMap((answer) => answer?.type === "taken" ? [answer] : []);
    if (taken.some((answer) => answer.digest !== digest)) {
      const detail = "key was used for another call";
      return sendProblem(reply, createResultError("orderKeyInvalid", detail));
    }
    const granted = replies.filter((answer) => answer?.type === "granted").length;
    if (granted < MAJORITY) {
      await sendToReplicas(prefix, { type: "release", key, claim });
      const outcome = taken.find((answer) => answer.outcome !== undefined)?.outcome;
      return outcome === undefined
        ? sendProblem(reply, createResultError("orderInProgress", "another attempt holds the key"))
        : sendOutcome(reply, outcome);
    }
    const result = await call.dispatch();
    if (result.isLeft()) {
      return sendProblem(reply, result.extract() as ResultError);
    }
    const outcome = result.extract() as ServiceResponse;
    await sendToReplicas(prefix, { type: "record", key, claim, outcome });
    return sendOutcome(reply, outcome);
  };

  const sendToReplicas = (prefix: KeyPrefix, message: unknown) =>
    Promise.all(prefix.replicas.map(({ host }) => askReplica(host, message)));

  const handleCall = async (request: FastifyRequest, reply: FastifyReply) => {
    const authenticated = authenticateTeam(request, settings);
    if (authenticated.isLeft()) {
      return sendProblem(reply, authenticated.extract() as ResultError);
    }
    const team = authenticated.extract() as TeamSettings;
    const { service: name } = request.params as { service: string };
    const url = findServiceUrl(settings, name);
    if (team.services[name] === undefined || url === undefined) {
      const detail = `team "${team.name}" has no service "${name}"`;
      return sendProblem(reply, createResultError("forbidden", detail));
    }
    const path = request.url.slice(`/v1/services/${name}`.length);
    const body = request.body instanceof Buffer ? request.body : Buffer.alloc(0);
    const dispatch: Dispatch = () =>
      service.callService(url, {
        method: request.method,
        path,
        headers: { "content-type": request.headers["content-type"] ?? "application/json" },
        body,
        timeoutMs: team.services[name]?.deadlineMs ?? PEER_TIMEOUT_MS,
      });
    running += 1;
    try {
      if (!isNonRepeatable(settings, team, { name, method: request.method, path })) {
        const result = await dispatch();
        return result.caseOf({
          Left: (error) => sendProblem(reply, error),
          Right: (outcome) => sendOutcome(reply, outcome),
        });
      }
      const key = request.headers["idempotency-key"];
      if (typeof key !== "string") {
        const members = { key_prefix: await createKeyPrefix() };
        const detail = `${request.method} ${path} may not run twice`;
        return sendProblem(reply, createResultError("orderKeyRequired", detail, { members }));
      }
      const prefix = decodeOrderKey(key, config.fleetKeys);
      if (prefix.isLeft()) {
        return sendProblem(reply, prefix.extract() as ResultError);
      }
      const digest = digestCall(team.name, request.method, path, body);
      return await runOrder({ key, digest, prefix: prefix.unsafeCoerce(), dispatch }, reply);
    } finally {
      running -= 1;
    }
  };

  return {
    registerRoutes: (server) => {
      server.register((scope, _options, done) => {
        scope.removeAllContentTypeParsers();
        scope.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, parsed) => {
          parsed(null, body);
        });
        scope.all("/v1/services/:service/*", handleCall);
        done();
      });
    },
    createKeyPrefix,
    countRunning: () => running,
    dumpState: () => ({ running, records: replica.records.size }),
  };
}

type Dispatch = () => ReturnType<ServiceClient["callService"]>;

function findServiceUrl(settings: SettingsView, service: string): string | undefined {
  return [...settings.getUpstreams().values()].find((upstream) =>
    upstream.kind === "service" && upstream.service === service && upstream.state === "live"
  )?.url;
}

function isNonRepeatable(
  settings: SettingsView,
  team: TeamSettings,
  call: { name: string; method: string; path: string },
): boolean {
  const rules = [
    ...(settings.getFleetServices()[call.name]?.nonRepeatable ?? []),
    ...(team.services[call.name]?.nonRepeatable ?? []),
  ];
  const text = `${call.method} ${call.path.split("?")[0]}`;
  return rules.some((rule) =>
    rule.endsWith("*") ? text.startsWith(rule.slice(0, -1)) : text === rule
  );
}

function digestCall(team: string, method: string, path: string, body: Uint8Array): string {
  const head = JSON.stringify([team, method, path]);
  return createHash("sha256").update(head).update(body).digest("hex");
}

function sendOutcome(reply: FastifyReply, outcome: ServiceResponse): FastifyReply {
  return reply.code(outcome.status).headers(outcome.headers).send(Buffer.from(outcome.body));
}
