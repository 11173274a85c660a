import type { AdoptionReply } from "./decide_adoption.ts";
import { decideHandover } from "./decide_handover.ts";
import type { HandoverEffect, HandoverEvent } from "./decide_handover.ts";
import type { DutyTable } from "./duty_table.ts";
import type { HandoverState } from "./handover_state.ts";
import { listTransferFrames } from "./list_transfer_frames.ts";
import type { AdoptionTransfer } from "./adoption_message_schema.ts";

/** Options of {@link transferDuty}. */
export interface DutyTransfer {
  readonly table: DutyTable;
  /** Hosts to ask, best first. */
  readonly candidates: readonly string[];
  /** Returns a name that no other transfer has. */
  readonly createTransferId: () => string;
  /** Sends one message; undefined without an answer in time. */
  readonly askSuccessor: (
    host: string,
    message: AdoptionTransfer,
  ) => Promise<AdoptionReply | undefined>;
}

/**
 * Freezes a duty for good and hands it to one successor. Returns the successor, or undefined when
 * none has confirmed; then the duty grants nowhere, or only at the one successor in doubt.
 */
export async function transferDuty(options: DutyTransfer): Promise<string | undefined> {
  let state: HandoverState = {
    phase: "serving",
    candidates: [],
    successor: "",
    sends: 0,
    isTransferred: false,
  };
  let transfer = "";
  let event: HandoverEvent | undefined = { type: "start", candidates: options.candidates };
  while (event !== undefined) {
    const decision = decideHandover(state, event);
    state = decision.state;
    event = undefined;
    for (const effect of decision.effects) {
      transfer = effect.type === "stage" ? options.createTransferId() : transfer;
      event = await applyEffect(options, effect, transfer);
    }
  }
  return state.isTransferred ? state.successor : undefined;
}

async function applyEffect(
  options: DutyTransfer,
  effect: HandoverEffect,
  transfer: string,
): Promise<HandoverEvent | undefined> {
  const { table } = options;
  if (effect.type === "freeze") {
    table.duty = { ...table.duty, isFrozen: true };
    return undefined;
  }
  const { successor } = effect;
  const frames = listTransferFrames(table);
  const { incarnation, epoch, oldestEpoch } = table.duty;
  if (effect.type === "commit") {
    const commit = { type: "commit", transfer, incarnation, frames: frames.length } as const;
    const reply = await options.askSuccessor(successor, commit);
    return reply === "adopted" || reply === "refused"
      ? { type: reply, successor }
      : { type: "timeout" };
  }
  for (const [frame, records] of frames.entries()) {
    const head = { type: "stage", transfer, incarnation, host: table.host } as const;
    const stage = { ...head, epoch, oldestEpoch, frame, records };
    const reply = await options.askSuccessor(successor, stage as AdoptionTransfer);
    if (reply !== "staged") {
      return { type: "stageFailed", successor };
    }
  }
  return { type: "staged", successor };
}
