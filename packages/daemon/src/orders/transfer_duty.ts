import type { AdoptionReply } from "./decide_adoption.ts";
import { decideHandover } from "./decide_handover.ts";
import type { HandoverEffect, HandoverEvent } from "./decide_handover.ts";
import type { DutyTable } from "./duty_table.ts";
import type { HandoverState } from "./handover_state.ts";
import { listTransferFrames } from "./list_transfer_frames.ts";
import type { AdoptionTransfer } from "./adoption_message_schema.ts";

/** Options of {@link transferDuty}. */
export interface DutyTransferOptions {
  readonly table: DutyTable;
  /** Hosts to try, in order of preference. */
  readonly candidates: readonly string[];
  /** Returns a unique id for a transfer. */
  readonly createTransferId: () => string;
  /** Sends one message; undefined without a reply before the timeout. */
  readonly sendToSuccessor: (
    host: string,
    message: AdoptionTransfer,
  ) => Promise<AdoptionReply | undefined>;
}

/**
 * Permanently freezes a duty and transfers it to one successor. Returns the successor, or undefined
 * when none has confirmed. In that case no host grants the duty's keys any more, except for a
 * successor that has adopted the duty but whose reply to the commit was lost.
 */
export async function transferDuty(options: DutyTransferOptions): Promise<string | undefined> {
  let state: HandoverState = {
    phase: "serving",
    candidates: [],
    successor: "",
    commitSends: 0,
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
  options: DutyTransferOptions,
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
    const reply = await options.sendToSuccessor(successor, commit);
    return reply === "adopted" || reply === "refused"
      ? { type: reply, successor }
      : { type: "timeout" };
  }
  for (const [frame, records] of frames.entries()) {
    const head = { type: "stage", transfer, incarnation, host: table.host } as const;
    const stage = { ...head, epoch, oldestEpoch, frame, records };
    const reply = await options.sendToSuccessor(successor, stage as AdoptionTransfer);
    if (reply !== "staged") {
      return { type: "stageFailed", successor };
    }
  }
  return { type: "staged", successor };
}
