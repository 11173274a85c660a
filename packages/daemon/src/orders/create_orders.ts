import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { Buffer } from "node:buffer";
import { Left } from "purify-ts";
import type { Either } from "purify-ts";
import type { ServiceClient, ServiceResponse } from "../adapters/service_client.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { sendProblem } from "../http/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { ORDER_LIMITS } from "./constants.ts";
import { createKeyPrefixes } from "./create_key_prefixes.ts";
import { createOrderRunner } from "./create_order_runner.ts";
import { createReplica } from "./create_replica.ts";
import { createReplicaClient } from "./create_replica_client.ts";
import { createServiceCall } from "./create_service_call.ts";
import { decodeOrderKey } from "./decode_order_key.ts";
import { isNonRepeatable } from "./is_non_repeatable.ts";
import { registerServiceRoutes } from "./register_service_routes.ts";
import { sendRepeatableCall } from "./send_repeatable_call.ts";
import type { ServiceCall } from "./service_call.ts";

/** Options of {@link createOrders}. */
export interface OrdersOptions {
  readonly context: DaemonContext;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly service: ServiceClient;
}

/** Orders slice: calls of plain services; runs non-repeatable calls at most once. */
export interface Orders {
  registerRoutes(server: FastifyInstance): void;
  /** Creates a key prefix for `GET /v1/entry`; undefined without enough reachable replicas. */
  createKeyPrefix(): Promise<string | undefined>;
  /** Number of calls on this daemon, including those whose records or releases are in flight. */
  countRunning(): number;
  /** Transfers this daemon's duties to successors; the last step before it stops. */
  handOverDuties(): Promise<void>;
  stop(): void;
  dumpState(): unknown;
}

const BUSY_RETRY_MS = 1_000;
const KEY_FORMAT_PREFIX = "ck1.";

/** Creates the orders slice. */
export function createOrders(options: OrdersOptions): Orders {
  const { context, settings, membership, service } = options;
  const replica = createReplica({ context, settings, membership });
  const replicaClient = createReplicaClient({ context, settings, membership });
  const prefixes = createKeyPrefixes({
    context,
    settings,
    membership,
    replicaClient,
    readLocalIdentity: replica.readIdentity,
  });
  const runner = createOrderRunner({ context, membership, replicaClient, service });
  let running = 0;

  const runNonRepeatable = async (
    call: ServiceCall,
    key: string | undefined,
  ): Promise<Either<ResultError, ServiceResponse>> => {
    if (key === undefined || !key.startsWith(KEY_FORMAT_PREFIX)) {
      const detail = key === undefined
        ? `${call.request.method} ${call.request.path} is non-repeatable and requires a key`
        : "the key has no prefix of this fleet: send <key_prefix><your own id>";
      return Left(
        createResultError("orderKeyRequired", detail, { members: await createKeyPrefixMembers() }),
      );
    }
    const prefix = decodeOrderKey(key, context.config.fleetKeys);
    const result = await prefix.caseOf<Promise<Either<ResultError, ServiceResponse>>>({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (replicas) => runner.runCall(call, key, replicas),
    });
    const problem = result.swap().toMaybe().extract();
    if (problem?.ran !== "no") {
      return result;
    }
    return Left({ ...problem, members: { ...problem.members, ...await createKeyPrefixMembers() } });
  };

  const createKeyPrefixMembers = async () => ({ key_prefix: await prefixes.createKeyPrefix() });

  /** A key with a prefix is honoured even if the settings, which may be stale, require none. */
  const runCall = (call: ServiceCall, key: string | undefined) => {
    const { method, path } = call.request;
    const isOrder = key?.startsWith(KEY_FORMAT_PREFIX) === true ||
      isNonRepeatable(settings, call.team, { service: call.service, method, path });
    return isOrder ? runNonRepeatable(call, key) : sendRepeatableCall(call, service);
  };

  const handleCall = async (request: FastifyRequest, reply: FastifyReply) => {
    const header = request.headers["idempotency-key"];
    const key = Array.isArray(header) ? header.join() : header;
    const call = createServiceCall(request, options);
    if (call.isLeft()) {
      // Earlier attempts with the key may have run before the access or the upstream was removed.
      const error = call.extract() as ResultError;
      return sendProblem(reply, key === undefined ? error : { ...error, ran: "unknown" });
    }
    if (running >= ORDER_LIMITS.maxRunning) {
      const error = createResultError(
        "tooManyServiceCalls",
        `${running} service calls are running`,
        {
          ran: key === undefined ? "no" : "unknown",
          retryAfterMs: BUSY_RETRY_MS,
        },
      );
      return sendProblem(reply, error);
    }
    running++;
    try {
      const result = await runCall(call.unsafeCoerce(), key);
      return result.caseOf({
        Left: (error) => sendProblem(reply, error),
        Right: ({ status, headers, body }) =>
          reply.code(status).headers(headers).send(Buffer.from(body)),
      });
    } finally {
      running--;
    }
  };

  return {
    registerRoutes: (server) => registerServiceRoutes(server, handleCall),
    createKeyPrefix: prefixes.createKeyPrefix,
    countRunning: () => Math.max(running, runner.countAttempts()),
    handOverDuties: replica.handOverDuties,
    stop: replica.stop,
    dumpState: () => ({
      running,
      attempts: runner.countAttempts(),
      knownReplicas: prefixes.countKnownReplicas(),
      ...replica.dumpState(),
    }),
  };
}
