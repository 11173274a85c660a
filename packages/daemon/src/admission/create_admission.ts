import type { Timer } from "@crocussail/protocol";
import type { LoadClient } from "../adapters/load_client.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { Membership } from "../membership/mod.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { Admission } from "./admission.ts";
import { admissionMessageSchema } from "./admission_message_schema.ts";
import type { AdmissionMessage } from "./admission_message_schema.ts";
import type { CandidateScore } from "./candidate.ts";
import { ADMISSION_LIMITS } from "./constants.ts";
import { createCandidateView } from "./create_candidate_view.ts";
import { createGrantClient } from "./create_grant_client.ts";
import { createGrantTable } from "./create_grant_table.ts";
import { createLeavingList } from "./create_leaving_list.ts";
import { createOwnerDirectory } from "./create_owner_directory.ts";
import { createOwnerService } from "./create_owner_service.ts";
import { leavingNoticeSchema } from "./leaving_notice_schema.ts";
import { scoreExpectedTime } from "./score_expected_time.ts";

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  readonly context: Pick<
    DaemonContext,
    | "clock"
    | "config"
    | "incarnation"
    | "journal"
    | "logger"
    | "metrics"
    | "peers"
    | "random"
  >;
  readonly settings: SettingsView;
  readonly membership: Pick<
    Membership,
    "listLiveHosts" | "isViewFresh" | "publishNotice" | "subscribeNotices"
  >;
  readonly load: LoadClient;
  /** Scores candidates; by default by the expected time to the complete response. */
  readonly score?: CandidateScore;
}

const CHANNEL = "admission";
const LEAVING_TOPIC = "upstreamLeaving";

/**
 * Creates the admission module. One daemon is the owner of each upstream: it counts the running
 * generations and issues the grants that entry daemons request. A wrong, duplicate or unresponsive
 * owner affects performance only.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const { context, settings, membership } = options;
  const { clock, peers } = context;
  const leaving = createLeavingList();
  const view = createCandidateView({ settings, leaving });
  let noticeCount = 0;
  let timer: Timer | undefined;

  const directory = createOwnerDirectory({ settings, membership });
  const sendToOwner = (upstream: string, message: AdmissionMessage) => {
    const host = directory.findOwner(upstream);
    if (host !== undefined) {
      peers.sendMessage(host, CHANNEL, message);
    }
  };

  const applyLeaving = (upstream: string, isLeaving: boolean): boolean => {
    const nowMs = clock.readMonotonicMs();
    if (!isLeaving) {
      return leaving.clearLeaving(upstream, nowMs);
    }
    const isNew = leaving.markLeaving(upstream, nowMs);
    if (isNew) {
      context.logger.writeEvent("upstreamLeaving", { upstream });
      owners.markLeaving(upstream);
    }
    return isNew;
  };
  const recordLeaving = (upstream: string, isLeaving: boolean) => {
    if (applyLeaving(upstream, isLeaving)) {
      noticeCount += 1;
      membership.publishNotice({
        topic: LEAVING_TOPIC,
        key: `${upstream}/${context.incarnation}/${noticeCount}`,
        payload: { upstream, isLeaving },
        ttlMs: ADMISSION_LIMITS.leavingTtlMs,
      });
    }
  };
  membership.subscribeNotices(LEAVING_TOPIC, (notice) => {
    const payload = leavingNoticeSchema.safeParse(notice.payload).data;
    if (payload !== undefined && settings.getUpstreams().has(payload.upstream)) {
      applyLeaving(payload.upstream, payload.isLeaving);
    }
  });

  const owners = createOwnerService({
    context,
    settings,
    load: options.load,
    directory,
    host: context.config.host.name,
    sendMessage: (host, message) => peers.sendMessage(host, CHANNEL, message),
    recordLeaving,
    applyCacheEvents: (upstream, events) =>
      view.prefixes.applyEvents(upstream, events, clock.readMonotonicMs()),
    getCacheSequence: view.prefixes.getSequence,
  });
  const grants = createGrantTable({ clock, view, sendToOwner });
  const client = createGrantClient({
    context,
    settings,
    view,
    grants,
    score: options.score ?? scoreExpectedTime,
    directory,
    isViewFresh: membership.isViewFresh,
    markLeaving: (upstream) => recordLeaving(upstream, true),
  });

  peers.registerHandler(CHANNEL, (from, body) => {
    const message = admissionMessageSchema.parse(body);
    switch (message.type) {
      case "ask":
        if (!membership.isViewFresh() || !settings.getUpstreams().has(message.upstream)) {
          throw new Error(
            "membership view is stale or the upstream is unknown; repeat the request later",
          );
        }
        return owners.answerAsk(from, message);
      case "renew":
        return owners.handleRenewal(from, message);
      case "unknown": {
        const { upstream, ids } = message;
        const missingGrants = grants.listGrants(upstream, ids);
        return peers.sendMessage(from, CHANNEL, { type: "adopt", upstream, grants: missingGrants });
      }
      case "adopt":
        return owners.handleAdoption(message);
      case "release":
        return owners.handleRelease(message);
      case "granted":
        return client.handleGranted(from, message);
      case "refused":
        return client.handleRefused(message);
    }
  });

  const renewGrants = () => {
    grants.renewGrants();
    timer = clock.startTimer(ADMISSION_LIMITS.renewMs, renewGrants);
  };

  return {
    requestGrant: client.requestGrant,
    start: () => {
      owners.start();
      renewGrants();
    },
    stop: () => {
      owners.stop();
      timer?.cancel();
    },
    dumpState: () => ({
      owned: owners.dumpState(),
      waiting: client.countWaiting(),
      grants: grants.countGrants(),
      leaving: leaving.listLeaving(clock.readMonotonicMs()),
    }),
  };
}
