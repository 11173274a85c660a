import type { ClaimantState } from "../claimant_state.ts";
import type { AdoptionReply, AdoptionState } from "../decide_adoption.ts";
import type { HandoverState } from "../handover_state.ts";
import type { OrderMessage } from "../order_message_schema.ts";
import type { OrderRecord } from "../order_record.ts";
import type { OrderReply } from "../order_reply_schema.ts";
import type { ReplicaDuty } from "../replica_duty.ts";
import type { ModelFaults } from "./model_scenario.ts";

/** One process that answers, or once answered, for a replica of the key. */
export interface ModelProcess {
  readonly duty: ReplicaDuty;
  readonly record: OrderRecord | undefined;
}

/** Successor candidate of a replica. */
export interface ModelSuccessor {
  readonly adoption: AdoptionState;
  /** Copy of the record; answers once the duty is adopted. */
  readonly process: ModelProcess;
}

/** One replica that the key names, with whoever may have taken its duty. */
export interface ModelReplica {
  readonly process: ModelProcess;
  readonly handover: HandoverState;
  readonly successors: readonly ModelSuccessor[];
  /** True once a restart or an epoch drop has taken its memory. */
  readonly isMemoryLost: boolean;
}

/** One attempt and what became of it. */
export interface ModelClaimant {
  readonly state: ClaimantState;
  readonly isStarted: boolean;
  readonly isCrashed: boolean;
  readonly isLate: boolean;
}

/** A message under way; the order of delivery is free. */
export type ModelMessage =
  | { readonly to: "replica"; readonly replica: number; readonly claimant: number } & {
    readonly message: OrderMessage;
  }
  | {
    readonly to: "claimant";
    readonly replica: number;
    readonly claimant: number;
    readonly about: OrderMessage["type"];
    readonly reply: OrderReply;
  }
  | {
    readonly to: "successor";
    readonly replica: number;
    readonly successor: number;
    readonly type: "stage" | "commit";
    /** Record and epochs at the time of the copy. */
    readonly process: ModelProcess;
  }
  | {
    readonly to: "leaver";
    readonly replica: number;
    readonly successor: string;
    readonly type: AdoptionReply;
  };

/** Everything that decides how a schedule goes on; equal worlds have equal futures. */
export interface ModelWorld {
  readonly replicas: readonly ModelReplica[];
  readonly claimants: readonly ModelClaimant[];
  readonly network: readonly ModelMessage[];
  readonly faults: ModelFaults;
  /** True where acknowledgements of releases and records arrive at once. */
  readonly areAcksInstant: boolean;
  /** Times that bytes of the order reached the service. */
  readonly dispatches: number;
  /** True once a caller was told `ran: no`. */
  readonly isToldNotRun: boolean;
  /** True once a caller was told that the order ran. */
  readonly isToldRun: boolean;
}
