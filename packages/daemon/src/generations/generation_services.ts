import type { EngineClient } from "../adapters/engine_client.ts";
import type { Admission } from "../admission/mod.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import type { SettingsView } from "../settings/mod.ts";
import type { Canceller } from "./create_canceller.ts";
import type { Handover } from "./create_handover.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { RunTable } from "./create_run_table.ts";
import type { StreamSlots } from "./create_stream_slots.ts";
import type { GenerationLimits } from "./generation_defaults.ts";
import type { RetryBudgetState } from "./retry_budget_state.ts";

/** Dependencies that the handlers of this module share. */
export interface GenerationServices {
  readonly context: DaemonContext;
  readonly limits: GenerationLimits;
  readonly settings: SettingsView;
  readonly admission: Admission;
  readonly engine: EngineClient;
  readonly canceller: Canceller;
  readonly runs: RunTable;
  readonly slots: StreamSlots;
  readonly handover: Handover;
  readonly quarantine: Quarantine;
  readonly retryBudget: RetryBudgetState;
}
