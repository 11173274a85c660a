import { createResultError } from "@crocussail/protocol";
import type { ResultError } from "@crocussail/protocol";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { AdmissionGrant, AdmissionRequest } from "./admission.ts";
import type { AdmissionMessage } from "./admission_message_schema.ts";
import { admissionReplySchema } from "./admission_reply_schema.ts";
import type { AdmissionReply } from "./admission_reply_schema.ts";
import type { CandidateScore } from "./candidate.ts";
import { chooseLocal } from "./choose_local.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { ENTRY_CONVERSION } from "./entry_conversion.ts";
import type { CandidateView } from "./create_candidate_view.ts";
import type { GrantTable } from "./create_grant_table.ts";
import type { OwnerDirectory } from "./create_owner_directory.ts";
import { createQueueEntry } from "./create_queue_entry.ts";
import { createRefusal } from "./create_refusal.ts";
import { describeRanking } from "./describe_ranking.ts";
import { rankCandidates } from "./rank_candidates.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Options of {@link createGrantClient}. */
export interface GrantClientOptions {
  readonly context: Pick<DaemonContext, "clock" | "random" | "peers" | "journal" | "logger">;
  readonly settings: SettingsView;
  readonly view: CandidateView;
  readonly grants: GrantTable;
  readonly score: CandidateScore;
  readonly directory: OwnerDirectory;
  /** False while this host's membership view is stale. */
  readonly isViewFresh: () => boolean;
  readonly markLeaving: (upstream: string) => void;
}

/** Entry side of admission: requests places from owners until one grants or all refuse. */
export interface GrantClient {
  requestGrant(request: AdmissionRequest): Promise<Either<ResultError, AdmissionGrant>>;
  handleGranted(from: string, message: AdmissionMessage & { type: "granted" }): void;
  handleRefused(message: AdmissionMessage & { type: "refused" }): void;
  countWaiting(): number;
}

const CHANNEL = "admission";

/** Creates the entry side. While `maxWaiting` requests wait, further requests are refused. */
export function createGrantClient(options: GrantClientOptions): GrantClient {
  const { context, settings, view, grants } = options;
  const { clock, peers, journal } = context;
  const waitingById = new Map<string, WaitingRequest>();

  const sendRelease = (host: string | undefined, upstream: string, id: string) => {
    if (host !== undefined) {
      const message: AdmissionMessage = { type: "release", upstream, id, isRefused: false };
      peers.sendMessage(host, CHANNEL, message);
    }
  };

  const settleWaiting = (
    waiting: WaitingRequest,
    result: Either<ResultError, AdmissionGrant>,
    grantedUpstream?: string,
  ) => {
    waiting.isSettled = true;
    waiting.timer?.cancel();
    waitingById.delete(waiting.entry.id);
    for (const [upstream, host] of waiting.places) {
      if (upstream !== grantedUpstream) {
        sendRelease(host, upstream, waiting.entry.id);
      }
    }
    waiting.places.clear();
    waiting.settle(result);
  };

  const refuseWaiting = (waiting: WaitingRequest, error: ResultError) => {
    const { code, detail, retryAfterMs } = error;
    journal.recordDecision(waiting.entry.id, "admission", "refused", { code, detail });
    context.logger.writeEvent("requestRefused", {
      request: waiting.entry.id,
      code,
      retryAfterMs: retryAfterMs ?? 0,
    });
    settleWaiting(waiting, Left(error));
  };

  const grantWaiting = (waiting: WaitingRequest, upstream: string, isSelfGranted: boolean) => {
    const url = settings.getUpstreams().get(upstream)?.url;
    if (url === undefined) {
      sendRelease(options.directory.findOwner(upstream), upstream, waiting.entry.id);
      return;
    }
    const waitedMs = clock.readMonotonicMs() - waiting.entry.arrivedMs;
    const fields = { upstream, isSelfGranted, waitedMs };
    journal.recordDecision(waiting.entry.id, "admission", "granted", fields);
    const { prefixKey } = waiting.request;
    if (prefixKey !== undefined) {
      view.prefixes.recordPlacement(prefixKey, upstream, clock.readMonotonicMs());
    }
    const grant = grants.createGrant(upstream, url, waiting.entry, isSelfGranted);
    settleWaiting(waiting, Right(grant), upstream);
  };

  const requestPlace = async (
    waiting: WaitingRequest,
    upstream: string,
  ): Promise<AdmissionReply | undefined> => {
    const owner = options.directory.findOwner(upstream);
    if (owner === undefined) {
      return undefined;
    }
    const nowMs = clock.readMonotonicMs();
    const entry = ENTRY_CONVERSION.toMessage(waiting.entry, nowMs);
    const message: AdmissionMessage = { type: "ask", upstream, entry };
    const answer = await peers.requestReply(
      owner,
      CHANNEL,
      message,
      ADMISSION_LIMITS.ownerTimeoutMs,
    );
    const reply = admissionReplySchema.safeParse(answer.orDefault(undefined)).data;
    if (reply === undefined) {
      sendRelease(owner, upstream, waiting.entry.id);
      return undefined;
    }
    view.recordWaits(upstream, reply.waits, clock.readMonotonicMs());
    applyReply(waiting, upstream, owner, reply);
    return reply;
  };

  const applyReply = (
    waiting: WaitingRequest,
    upstream: string,
    owner: string,
    reply: AdmissionReply,
  ) => {
    const formerOwner = waiting.places.get(upstream);
    if (formerOwner !== undefined && formerOwner !== owner) {
      sendRelease(formerOwner, upstream, waiting.entry.id);
    }
    waiting.places.delete(upstream);
    if (waiting.isSettled) {
      sendRelease(owner, upstream, waiting.entry.id);
      return;
    }
    if (reply.type === "place") {
      waiting.places.set(upstream, owner);
      const { position, expectedWaitMs } = reply;
      const fields = { upstream, position, expectedWaitMs };
      journal.recordDecision(waiting.entry.id, "admission", "queued", fields);
    }
    if (reply.type === "grant") {
      waiting.places.set(upstream, owner);
      grantWaiting(waiting, upstream, false);
    }
    if (reply.type === "refuse" && reply.reason === "leaving") {
      options.markLeaving(upstream);
    }
  };

  const requestPlaces = async (waiting: WaitingRequest) => {
    waiting.isRequesting = true;
    options.directory.refreshView();
    const nowMs = clock.readMonotonicMs();
    const candidates = view.listCandidates(waiting.request, waiting.entry.urgency, nowMs);
    const rankedCandidates = rankCandidates(candidates, options.score);
    if (waiting.places.size === 0) {
      const fields = { candidates: describeRanking(rankedCandidates, options.score) };
      journal.recordDecision(waiting.entry.id, "admission", "ranked", fields);
    }
    const ranked = rankedCandidates.map(({ upstream }) => upstream);
    const chosen = [...new Set([...waiting.places.keys(), ...ranked])]
      .slice(0, ADMISSION_LIMITS.maxPlaces);
    const refusals: (AdmissionReply & { type: "refuse" })[] = [];
    for (const upstream of chosen) {
      const reply = await requestPlace(waiting, upstream);
      if (waiting.isSettled) {
        return;
      }
      if (reply?.type === "refuse") {
        refusals.push(reply);
      }
    }
    waiting.isRequesting = false;
    decideAfterReplies(waiting, chosen, refusals);
  };

  const decideAfterReplies = (
    waiting: WaitingRequest,
    chosen: readonly string[],
    refusals: readonly (AdmissionReply & { type: "refuse" })[],
  ) => {
    const first = refusals[0];
    if (chosen.length === 0) {
      const detail = `no live engine serves model "${waiting.request.model}"`;
      const retryAfterMs = ADMISSION_LIMITS.minRetryAfterMs;
      refuseWaiting(waiting, createResultError("noUpstream", detail, { retryAfterMs }));
      return;
    }
    if (first !== undefined && refusals.length === chosen.length) {
      const isLeaving = refusals.every(({ reason }) => reason === "leaving");
      if (isLeaving) {
        void requestPlaces(waiting);
        return;
      }
      const retryAfterMs = Math.min(...refusals.map((refusal) => refusal.retryAfterMs));
      const reason = refusals.find((refusal) => refusal.reason !== "leaving")?.reason ?? "late";
      refuseWaiting(waiting, createRefusal(reason, retryAfterMs));
      return;
    }
    if (waiting.places.size === 0 && grantLocally(waiting, chosen)) {
      return;
    }
    waiting.timer = clock.startTimer(ADMISSION_LIMITS.requestRetryMs, () => repeatRequest(waiting));
  };

  /** Grants without an owner's reply, up to `maxSelfGrants` for each upstream. */
  const grantLocally = (waiting: WaitingRequest, chosen: readonly string[]): boolean => {
    if (!options.isViewFresh()) {
      return false;
    }
    const candidates = chosen.map((upstream) => ({
      upstream,
      selfGrantedCount: grants.countSelfGranted(upstream),
      inFlight: view.getInFlight(upstream),
    }));
    const upstream = chooseLocal(
      candidates,
      ADMISSION_LIMITS.maxSelfGrants,
      (bound) => context.random.nextInteger(bound),
    );
    if (upstream === undefined) {
      return false;
    }
    context.logger.writeEvent("admissionOwnerSilent", { upstream });
    grantWaiting(waiting, upstream, true);
    return waiting.isSettled;
  };

  const repeatRequest = (waiting: WaitingRequest) => {
    if (waiting.isSettled || waiting.isRequesting) {
      return;
    }
    const isLate = clock.readMonotonicMs() >= waiting.entry.deadlineMs;
    if (isLate || waiting.request.isAbandoned?.() === true) {
      refuseWaiting(waiting, createRefusal("late", ADMISSION_LIMITS.minRetryAfterMs));
      return;
    }
    void requestPlaces(waiting);
  };

  return {
    requestGrant: (request) =>
      new Promise((settle) => {
        if (waitingById.size >= ADMISSION_LIMITS.maxWaiting) {
          settle(Left(createRefusal("full", ADMISSION_LIMITS.minRetryAfterMs)));
          return;
        }
        const waiting: WaitingRequest = {
          request,
          entry: createQueueEntry(request, settings, clock.readMonotonicMs()),
          places: new Map(),
          settle,
          isRequesting: false,
          isSettled: false,
          timer: undefined,
        };
        waitingById.set(waiting.entry.id, waiting);
        void requestPlaces(waiting);
      }),
    handleGranted: (from, message) => {
      const waiting = waitingById.get(message.id);
      if (waiting === undefined) {
        sendRelease(from, message.upstream, message.id);
        return;
      }
      grantWaiting(waiting, message.upstream, false);
    },
    handleRefused: (message) => {
      const waiting = waitingById.get(message.id);
      if (message.reason === "leaving") {
        options.markLeaving(message.upstream);
      }
      waiting?.places.delete(message.upstream);
      if (waiting === undefined || waiting.isRequesting || waiting.places.size > 0) {
        return;
      }
      waiting.timer?.cancel();
      if (message.reason === "leaving") {
        void requestPlaces(waiting);
        return;
      }
      refuseWaiting(waiting, createRefusal(message.reason, message.retryAfterMs));
    },
    countWaiting: () => waitingById.size,
  };
}
