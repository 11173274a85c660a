import type { IniFinding } from "../common/ini_finding.ts";

/** One error or warning about a published value. */
export interface SettingsFinding extends IniFinding {
  /** Settings path. */
  readonly path: string;
}
