import type { AdoptionMessage } from "../decide_adoption.ts";
import { applyClaimantEvent } from "./apply_claimant_event.ts";
import { applyHandoverEvent } from "./apply_handover_event.ts";
import type { ModelStep } from "./model_step.ts";
import type { ModelMessage, ModelProcess, ModelReplica, ModelState } from "./model_state.ts";
import type { OrderDecisions } from "./order_decisions.ts";

type Request = Extract<ModelMessage, { to: "replica" }>;
type Answer = Extract<ModelMessage, { to: "claimant" }>;

const TRANSFER = "t";

/** Returns the possible deliveries of a message: one for each process that it may reach. */
export function receiveMessage(
  model: ModelState,
  message: ModelMessage,
  decisions: OrderDecisions,
): ModelStep[] {
  switch (message.to) {
    case "replica":
      return receiveRequest(model, message, decisions);
    case "claimant":
      return [() =>
        applyClaimantEvent(
          model,
          message.claimant,
          { type: "reply", to: message.about, replica: message.replica, reply: message.reply },
          decisions,
        )];
    case "successor":
      return [() => receiveTransfer(model, message, decisions)];
    case "predecessor":
      return [() => applyHandoverEvent(model, message.replica, message, decisions)];
  }
}

/**
 * Before a transfer is confirmed, a claimant may send to the old process or to the successor. After
 * that only the successor is modelled as a recipient: a message to the old process changes nothing
 * there, like a lost one.
 */
function receiveRequest(
  model: ModelState,
  message: Request,
  decisions: OrderDecisions,
): ModelStep[] {
  const replica = model.replicas[message.replica];
  if (replica === undefined) {
    return [];
  }
  const steps: ModelStep[] = [];
  if (!replica.handover.isTransferred) {
    steps.push(() => {
      const { process, reply } = applyRequest(replica.process, message, decisions);
      const answered = { replica: { ...replica, process }, reply };
      return sendReply(model, message, answered, decisions);
    });
  }
  for (const [index, successor] of replica.successors.entries()) {
    if (successor.adoption.phase === "adopted") {
      steps.push(() => {
        const { process, reply } = applyRequest(successor.process, message, decisions);
        const successors = replica.successors.with(index, { ...successor, process });
        const answered = { replica: { ...replica, successors }, reply };
        return sendReply(model, message, answered, decisions);
      });
    }
  }
  return steps;
}

function applyRequest(process: ModelProcess, message: Request, decisions: OrderDecisions) {
  const { reply, record } = decisions.decideReplica(process.duty, process.record, message.message);
  return { reply, process: { ...process, record } };
}

function sendReply(
  model: ModelState,
  request: Request,
  answered: { readonly replica: ModelReplica; readonly reply: Answer["reply"] },
  decisions: OrderDecisions,
): ModelState {
  const { claimant } = request;
  const next = { ...model, replicas: model.replicas.with(request.replica, answered.replica) };
  const state = model.claimants[claimant];
  if (state === undefined || state.isCrashed || state.state.phase === "ended") {
    return next;
  }
  const about = request.message.type;
  if (model.areAcksInstant && about !== "claim") {
    const { replica } = request;
    const event = { type: "reply", to: about, replica, reply: answered.reply } as const;
    return applyClaimantEvent(next, claimant, event, decisions);
  }
  const answer: Answer = {
    to: "claimant",
    replica: request.replica,
    claimant,
    about,
    reply: answered.reply,
  };
  return { ...next, network: [...next.network, answer] };
}

function receiveTransfer(
  model: ModelState,
  message: Extract<ModelMessage, { to: "successor" }>,
  decisions: OrderDecisions,
): ModelState {
  const replica = model.replicas[message.replica];
  const successor = replica?.successors[message.successor];
  if (replica === undefined || successor === undefined) {
    return model;
  }
  const transfer = `${TRANSFER}${message.successor}`;
  const content: AdoptionMessage = message.type === "stage"
    ? { type: "stage", transfer, frame: 0 }
    : { type: "commit", transfer, frames: 1 };
  const { state, reply, isFrameNew } = decisions.decideAdoption(successor.adoption, content);
  const { record, duty } = message.process;
  const process = isFrameNew ? { record, duty: { ...duty, isFrozen: false } } : successor.process;
  const successors = replica.successors.with(message.successor, { adoption: state, process });
  const answer: ModelMessage = {
    to: "predecessor",
    replica: message.replica,
    successor: String(message.successor),
    type: reply,
  };
  return {
    ...model,
    replicas: model.replicas.with(message.replica, { ...replica, successors }),
    network: [...model.network, answer],
  };
}
