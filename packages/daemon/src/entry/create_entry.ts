import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { Right } from "purify-ts";
import type { Either } from "purify-ts";
import { z } from "zod";
import type { DaemonContext } from "../common/daemon_context.ts";
import { authenticateTeam, sendProblem } from "../http/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import { ENTRY_LIMITS } from "./constants.ts";
import { createLoadReports } from "./create_load_reports.ts";
import { decideEntry } from "./decide_entry.ts";
import { listEntryCandidates } from "./list_entry_candidates.ts";

/** Options of {@link createEntry}. */
export interface EntryOptions {
  readonly context: Pick<DaemonContext, "config" | "clock">;
  readonly settings: SettingsView;
  readonly membership: Membership;
  readonly createKeyPrefix: () => Promise<string | undefined>;
  /** Processor time of this process since its start, in milliseconds. */
  readonly readCpuMs: () => number;
}

/** Entry slice: tells callers which hosts to use. */
export interface Entry {
  registerRoutes(server: FastifyInstance): void;
  start(): void;
  stop(): void;
  dumpState(): unknown;
}

const RETRY_AFTER_MS = 1_000;
const nameSchema = z.string().max(ENTRY_LIMITS.maxNameCharacters);
const querySchema = z.object({ team: nameSchema.optional(), data_centre: nameSchema.optional() });

/** Creates the entry slice. */
export function createEntry(options: EntryOptions): Entry {
  const { settings, membership, context: { config, clock } } = options;
  const loads = createLoadReports({
    host: config.host.name,
    clock,
    membership,
    readCpuMs: options.readCpuMs,
  });

  const waitForFreshView = async (): Promise<boolean> => {
    const endAtMs = clock.readMonotonicMs() + ENTRY_LIMITS.freshWaitMs;
    while (!membership.isViewFresh() && clock.readMonotonicMs() < endAtMs) {
      await new Promise<void>((resolve) => {
        clock.startTimer(ENTRY_LIMITS.freshCheckMs, resolve);
      });
    }
    return membership.isViewFresh();
  };

  /**
   * Reads the team. A key in the request must be valid; without a key, the team's name in the query
   * only affects which hosts are chosen.
   */
  const readTeam = (request: FastifyRequest, hint: string): Either<ResultError, string> =>
    request.headers.authorization === undefined
      ? Right(hint)
      : authenticateTeam(request, settings).map((team) => team.name);

  const listAddresses = (dataCentre: string, caller: string) => {
    const hosts = settings.getHosts();
    const candidates = listEntryCandidates({
      hosts,
      live: membership.listLiveHosts(),
      unsuspected: membership.listUnsuspectedHosts(),
      getCapacityFactor: loads.getCapacityFactor,
    });
    return decideEntry({ candidates, dataCentre, caller }).flatMap(({ host, weight }) => {
      const found = hosts.get(host);
      return found === undefined ? [] : [{
        host,
        address: found.address,
        port: found.callerPort,
        data_centre: found.dataCentre,
        weight,
      }];
    });
  };

  const answerEntry = async (request: FastifyRequest, reply: FastifyReply) => {
    const query = querySchema.safeParse(request.query);
    if (!query.success) {
      const detail = "team and data_centre may be given once, each up to 255 characters";
      return sendProblem(reply, createResultError("invalidRequest", detail));
    }
    const team = readTeam(request, query.data.team ?? "");
    if (team.isLeft()) {
      return sendProblem(reply, team.extract() as ResultError);
    }
    if (!await waitForFreshView()) {
      const detail =
        "this host was paused or has just started and its view of the fleet is not up to date yet";
      const retry = { retryAfterMs: RETRY_AFTER_MS };
      return sendProblem(reply, createResultError("notReady", detail, retry));
    }
    const caller = `${team.extract()}\0${request.ip}`;
    return {
      host: config.host.name,
      ttl_ms: settings.getFleetLimits().entryTtlMs,
      addresses: listAddresses(query.data.data_centre ?? config.host.dataCentre, caller),
      key_prefix: await options.createKeyPrefix(),
    };
  };

  return {
    dumpState: () => ({
      isViewFresh: membership.isViewFresh(),
      named: listAddresses(config.host.dataCentre, "")
        .slice(0, ENTRY_LIMITS.maxDumpedHosts)
        .map(({ host, weight }) => ({ host, weight })),
    }),
    registerRoutes: (server) => {
      server.get("/v1/entry", answerEntry);
    },
    start: loads.start,
    stop: loads.stop,
  };
}
