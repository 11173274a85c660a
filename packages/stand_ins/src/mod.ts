/** Small fakes of external systems for the demo, tests and benchmarks. @module */
export { createEngine } from "./engine/create_engine.ts";
export type { Engine, EngineOptions } from "./engine/create_engine.ts";
export { createEngineModel } from "./engine/create_engine_model.ts";
export type { EngineModel } from "./engine/create_engine_model.ts";
export type { EngineJob } from "./engine/engine_job.ts";
export type { EngineLoadReport } from "./engine/engine_load_report.ts";
export type { EngineModelOptions } from "./engine/engine_model_options.ts";
export type { EngineSink } from "./engine/engine_sink.ts";
export type { EngineEvent } from "./engine/engine_event.ts";
export { createPlacementEngine } from "./placement_engine/create_placement_engine.ts";
export type {
  EngineCopy,
  PlacementEngine,
  PlacementEngineOptions,
} from "./placement_engine/create_placement_engine.ts";
export { createPlainService } from "./service/create_plain_service.ts";
export type { PlainService } from "./service/create_plain_service.ts";
export { createSettingsService } from "./settings_service/create_settings_service.ts";
export type {
  SettingsService,
  SettingsServiceOptions,
} from "./settings_service/create_settings_service.ts";
export type { StandInServer } from "./stand_in_server.ts";
