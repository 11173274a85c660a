import type { ClaimantState } from "../claimant_state.ts";
import type { AdoptionReply, AdoptionState } from "../decide_adoption.ts";
import type { HandoverState } from "../handover_state.ts";
import type { OrderMessage } from "../order_message_schema.ts";
import type { OrderRecord } from "../order_record.ts";
import type { OrderReply } from "../order_reply_schema.ts";
import type { ReplicaDuty } from "../replica_duty.ts";
import type { ModelFaults } from "./model_scenario.ts";

/** One process that holds, or held, the duty of a replica of the key. */
export interface ModelProcess {
  readonly duty: ReplicaDuty;
  readonly record: OrderRecord | undefined;
}

/** Successor candidate of a replica. */
export interface ModelSuccessor {
  readonly adoption: AdoptionState;
  /** Copy of the duty and record; replies to claimants once the duty is adopted. */
  readonly process: ModelProcess;
}

/** One replica that the key names, with the candidates that may have adopted its duty. */
export interface ModelReplica {
  readonly process: ModelProcess;
  readonly handover: HandoverState;
  readonly successors: readonly ModelSuccessor[];
  /** True once the records were lost in a restart or an epoch drop. */
  readonly areRecordsLost: boolean;
}

/** One attempt and the faults that it met. */
export interface ModelClaimant {
  readonly state: ClaimantState;
  readonly isStarted: boolean;
  readonly isCrashed: boolean;
  readonly isLate: boolean;
}

/** An in-flight message; messages are delivered in any order. */
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
    readonly to: "predecessor";
    readonly replica: number;
    readonly successor: string;
    readonly type: AdoptionReply;
  };

/** Everything that determines the next steps of a schedule; equal states have equal next steps. */
export interface ModelState {
  readonly replicas: readonly ModelReplica[];
  readonly claimants: readonly ModelClaimant[];
  readonly network: readonly ModelMessage[];
  readonly faults: ModelFaults;
  /** True when acknowledgements of releases and records are delivered at once. */
  readonly areAcksInstant: boolean;
  /** Number of times that bytes of the order reached the service. */
  readonly dispatchCount: number;
  /** True once a caller received `ran: no`. */
  readonly isNotRunReported: boolean;
  /** True once a caller received a completed outcome. */
  readonly isCompletionReported: boolean;
}
