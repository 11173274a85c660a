import type { SettingsView } from "../settings/mod.ts";
import type { AdmissionRequest } from "./admission.ts";
import type { QueueEntry } from "./queue_entry.ts";

const DEFAULT_URGENCY = 5;
const DEFAULT_GAP_MS = 37;

/** Creates the queue entry of a request from its team's settings; unset kinds get defaults. */
export function createQueueEntry(
  request: AdmissionRequest,
  settings: SettingsView,
  nowMs: number,
): QueueEntry {
  const team = settings.getTeam(request.team);
  const kind = team?.kinds[request.kind];
  return {
    id: request.requestId,
    team: request.team,
    kind: request.kind,
    model: request.model,
    urgency: kind?.urgency ?? DEFAULT_URGENCY,
    weight: team?.access.weight ?? 1,
    promptTokens: request.promptTokens,
    ...(request.maxTokens === undefined ? {} : { maxTokens: request.maxTokens }),
    tokenGapMs: kind?.tokenGapMs ?? DEFAULT_GAP_MS,
    arrivedMs: nowMs,
    deadlineMs: request.deadlineMs,
  };
}
