import type { Timer } from "@crocussail/protocol";
import type { PublishedBatch, SettingsSource } from "../adapters/settings_source.ts";
import type { DaemonContext } from "../common/daemon_context.ts";
import { createSettingsView } from "./create_settings_view.ts";
import { applySettingsUpdate } from "./settings_state.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SettingsView } from "./settings_view.ts";

/** Options of {@link createSettings}. */
export interface SettingsOptions {
  readonly context: Pick<DaemonContext, "clock" | "logger">;
  readonly source: SettingsSource;
}

/** Settings slice: keeps the newest accepted value of each path. */
export interface Settings {
  readonly view: SettingsView;
  /** Reads every value once and starts to watch. */
  start(): Promise<void>;
  stop(): void;
  dumpState(): unknown;
}

const RETRY_MS = 1_000;

/** Creates the settings slice. */
export function createSettings(options: SettingsOptions): Settings {
  const { clock, logger } = options.context;
  const state: SettingsState = new Map();
  const listeners = new Set<() => void>();
  let revision = 0;
  let stopWatch = () => {};
  let retryTimer: Timer | undefined;

  const applyBatch = (batch: PublishedBatch) => {
    revision = Math.max(revision, batch.revision);
    for (const update of batch.values) {
      const merge = applySettingsUpdate(state, update);
      if (merge === "rejected") {
        const reason = state.get(update.path)?.rejection ?? "";
        logger.writeEvent("settingsRejected", { path: update.path, reason });
      }
    }
    listeners.forEach((listener) => listener());
  };

  const readAndWatch = async () => {
    const result = await options.source.readAll();
    result.caseOf({
      Left: (error) => {
        logger.writeEvent("settingsServiceLost", { detail: error.detail });
        retryTimer = clock.startTimer(RETRY_MS, readAndWatch);
      },
      Right: (batch) => {
        applyBatch(batch);
        stopWatch = options.source.watchAfter(revision, {
          handleBatch: applyBatch,
          handleEnd: () => {
            retryTimer = clock.startTimer(RETRY_MS, readAndWatch);
          },
        });
      },
    });
  };

  const view = createSettingsView(state, (listener) => {
    listeners.add(listener);
    return () => listeners.delete(listener);
  });
  return {
    view,
    start: readAndWatch,
    stop: () => {
      retryTimer?.cancel();
      stopWatch();
    },
    dumpState: () => ({
      revision,
      paths: Object.fromEntries(
        [...state].map(([path, entry]) => [path, {
          revision: entry.revision,
          acceptedRevision: entry.acceptedRevision,
          rejection: entry.rejection,
        }]),
      ),
    }),
  };
}
