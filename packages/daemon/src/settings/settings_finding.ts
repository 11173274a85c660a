import type { IniFinding } from "../common/ini_finding.ts";

/** One fault of a published value. */
export interface SettingsFinding extends IniFinding {
  /** Settings path. */
  readonly path: string;
}
